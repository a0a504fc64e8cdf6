/** Carries out the fleet's effects: datagrams and messages between VMs, the list, and probes. */

import { PEER_TIMEOUT_MS } from '../adapters/constants';
import type { BackendServerId } from '../backendServers/backendServer';
import type { Address, VmId } from '../vms/vm';
import type { SideInterpreters } from './interpreters';
import type { Ports } from './ports';

export interface FleetInterpreterOptions {
  readonly vm: VmId;
  /** Whether a backend server is an engine, whose load and cache events are read too. */
  readonly isEngine: (server: BackendServerId) => boolean;
  readonly onDrained: () => void;
}

/**
 * Builds the table of handlers.
 *
 * @param ports what the shell reaches the world through
 * @param options this VM's id, and what the handlers ask back
 */
export function interpretFleet(
  ports: Ports,
  options: FleetInterpreterOptions,
): SideInterpreters<'fleet'> {
  const { gossip, peers, membership, metrics, log, waiting, send } = ports;
  const readEngine = createEngineReader(ports);
  return {
    'send-datagram': ({ to, body }) => {
      gossip.send(to, body);
    },
    'send-message': ({ to, body }) => {
      const ask = { type: 'message', from: options.vm, body } as const;
      void peers.ask(to.peer, ask, PEER_TIMEOUT_MS).then(({ type }) => {
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

/** Reads an engine's load, and what its cache changed since the last read. */
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
      const last = events.at(-1);
      if (last === undefined) return;
      cacheSequences.set(server, last.sequence);
      const toEvent = (event: typeof last) =>
        ({ side: 'router', event: { type: 'cache-event', event } }) as const;
      send(...events.map(toEvent));
    });
  };
}
