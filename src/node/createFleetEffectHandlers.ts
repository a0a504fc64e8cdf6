/** Carries out effects of the fleet: messages between VMs, reads of the membership list, and probes. */

import { PEER_TIMEOUT_MS } from '../adapters/constants';
import type { BackendServerId } from '../backendServers/backendServer';
import type { Address, VmId } from '../vms/vm';
import type { ComponentEffectHandlers } from './effectHandlers';
import type { Ports } from './ports';

export interface FleetEffectHandlerOptions {
  readonly vm: VmId;
  /** Whether a backend server is an engine; the load and cache events of engines are read too. */
  readonly isEngine: (server: BackendServerId) => boolean;
  readonly onDrained: () => void;
}

/**
 * Builds the table of handlers.
 *
 * @param ports the daemon's sockets, clients and timers
 * @param options this VM's id, and the callbacks of the handlers
 */
export function createFleetEffectHandlers(
  ports: Ports,
  options: FleetEffectHandlerOptions,
): ComponentEffectHandlers<'fleet'> {
  const { gossip, peers, membership, metrics, log, waiting, send } = ports;
  const readEngine = createEngineReader(ports);
  return {
    'send-datagram': ({ to, body }) => {
      gossip.send(to, body);
    },
    'send-message': ({ to, body }) => {
      const message = { type: 'message', from: options.vm, body } as const;
      void peers.ask(to.peer, message, PEER_TIMEOUT_MS).then(({ type }) => {
        if (type !== 'taken') metrics.count('peer_messages_lost', 1, { result: type });
      });
    },
    'list-vms': () => {
      void membership.list().then((result) => {
        send({ side: 'fleet', event: { type: 'listed', result } });
      });
    },
    'probe-server': ({ server, address, askedAtMs }) => {
      void ports.probe.health(address).then(({ result, incarnation }) => {
        const event = { type: 'probe-answered', server, result, incarnation, askedAtMs } as const;
        send({ side: 'fleet', event });
        if (result !== 'unreachable' && options.isEngine(server)) readEngine(server, address);
      });
    },
    'configuration-pending': ({ revision, waitsFor }) => {
      log.write('warn', 'configuration pending', { revision, waitsFor: waitsFor.join(',') });
    },
    'answer-addresses': ({ call, answer }) => {
      waiting.addresses.resolve(call, answer);
    },
    drained: options.onDrained,
  };
}

/** Reads an engine's load, and the changes of its cache since the last read. */
function createEngineReader({
  probe,
  send,
}: Ports): (server: BackendServerId, address: Address) => void {
  const cacheSequences = new Map<BackendServerId, number>();
  return (server, address) => {
    void probe.load(address).then((report) => {
      if (report === undefined) return;
      send({ side: 'fleet', event: { type: 'load-observed', report } });
    });
    void probe.cacheEvents(address, cacheSequences.get(server) ?? 0).then((events) => {
      const lastEvent = events.at(-1);
      if (lastEvent === undefined) return;
      cacheSequences.set(server, lastEvent.sequence);
      const toEvent = (event: typeof lastEvent) =>
        ({ side: 'router', event: { type: 'cache-event', event } }) as const;
      send(...events.map(toEvent));
    });
  };
}
