/** Opens what a daemon reaches the world through. */

import { Agent } from 'undici';
import { CONNECT_TIMEOUT_MS, MAX_CONNECTIONS_PER_SERVER } from '../adapters/constants';
import { createEngineClient } from '../adapters/createEngineClient';
import { createGossipSocket } from '../adapters/createGossipSocket';
import { createMembershipClient } from '../adapters/createMembershipClient';
import { createPeerClient } from '../adapters/createPeerClient';
import { createPlainCaller } from '../adapters/createPlainCaller';
import { createMessageAuthenticator } from '../adapters/createMessageAuthenticator';
import { createServerProbe } from '../adapters/createServerProbe';
import { createTableClient } from '../adapters/createTableClient';
import type { Address, Incarnation } from '../vms/vm';
import { createJournal } from './createJournal';
import type { Log } from './createLog';
import { createMetrics } from './createMetrics';
import { createTimers } from './createTimers';
import { createWaiting } from './createWaiting';
import type { Ports } from './ports';
import type { FleetKeys, Settings } from './settings';
import type { Send } from './untimedEvent';

export interface OpenPorts {
  readonly ports: Ports;
  /** Where heartbeats of other VMs reach this one. */
  readonly gossipAddress: Address;
  readonly close: () => Promise<void>;
}

/**
 * Opens the sockets and clients.
 *
 * @param settings the VM's settings
 * @param incarnation this life of the VM
 * @param log the daemon's log
 * @param send hands events to the node
 */
export async function createPorts(
  settings: Settings,
  incarnation: Incarnation,
  log: Log,
  send: Send,
): Promise<OpenPorts> {
  const metrics = createMetrics();
  const dispatcher = new Agent({
    connect: { timeout: CONNECT_TIMEOUT_MS },
    connections: MAX_CONNECTIONS_PER_SERVER,
  });
  const gossip = await createGossipSocket({
    listen: settings.listen.gossip,
    sender: settings.vm.id,
    incarnation,
    fleet: settings.fleet,
    keys: listKeys(settings.keys).map((key) => Buffer.from(key)),
    onDatagram: (from, body) => {
      send({ side: 'fleet', event: { type: 'datagram-received', from, body } });
    },
    onDropped: (reason) => {
      metrics.count('datagrams_dropped', 1, { reason });
    },
  });
  const timers = createTimers({
    onFired: (side, timer) => {
      send({ side, event: { type: 'timer-fired', timer } });
    },
  });
  const peers = createPeerClient(createMessageAuthenticator(settings.fleet, settings.keys));
  const { table, membership } = settings.platform;
  const ports: Ports = {
    send,
    timers,
    metrics,
    log,
    gossip,
    peers,
    waiting: createWaiting(),
    journal: createJournal(),
    table: createTableClient({ url: table, dispatcher }),
    membership: createMembershipClient({ url: membership, dispatcher }),
    engines: createEngineClient(dispatcher),
    probe: createServerProbe(dispatcher),
    callPlain: createPlainCaller(dispatcher),
  };
  return {
    ports,
    gossipAddress: gossip.address,
    close: async () => {
      timers.clearAll();
      gossip.close();
      peers.close();
      await dispatcher.destroy();
    },
  };
}

function listKeys({ current, previous }: FleetKeys): readonly string[] {
  return previous === undefined ? [current] : [current, previous];
}
