/** What the shell reaches the world through. */

import type { EngineClient } from '../adapters/createEngineClient';
import type { GossipSocket } from '../adapters/createGossipSocket';
import type { PeerClient } from '../adapters/createPeerClient';
import type { PlainCaller } from '../adapters/createPlainCaller';
import type { ServerProbe } from '../adapters/createServerProbe';
import type { Waiters } from '../adapters/exchange';
import type { MembershipList } from '../contracts/membershipList';
import type { Table } from '../contracts/table';
import type { Journal } from './createJournal';
import type { Log } from './createLog';
import type { Metrics } from './createMetrics';
import type { Timers } from './createTimers';
import type { Send } from './untimedEvent';

export interface Ports {
  readonly send: Send;
  readonly timers: Timers;
  readonly metrics: Metrics;
  readonly log: Log;
  readonly table: Table;
  readonly membership: MembershipList;
  readonly engines: EngineClient;
  readonly probe: ServerProbe;
  readonly callPlain: PlainCaller;
  readonly gossip: Pick<GossipSocket, 'send'>;
  readonly peers: Pick<PeerClient, 'ask'>;
  readonly waiting: Waiters;
  readonly journal: Journal;
}
