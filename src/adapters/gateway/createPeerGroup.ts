/**
 * Keeps this VM and its peers aware of each other: every VM sends each other one a heartbeat with its
 * work on the backend servers. Membership itself is rows of the store.
 */

import { createSocket } from 'node:dgram';
import type { ServerBoard } from '../../gateway/createServerBoard';
import type { LogFields } from '../../gateway/job';
import { decodeHeartbeat, encodeHeartbeat } from '../../peers/heartbeatCodec';
import { listLivePeers } from '../../peers/listLivePeers';
import type { HeardPeer, PeerRecord } from '../../peers/peer';

export interface PeerGroup {
  readonly learnRecords: (records: readonly PeerRecord[]) => void;
  /** VMs that accept callers. */
  readonly live: () => readonly PeerRecord[];
  /** VMs of which a record is known, this one included. */
  readonly size: () => number;
  /** Tells all peers at once, outside the usual rhythm. */
  readonly announce: () => void;
  /** Records of VMs that have been silent for long. */
  readonly departed: () => readonly PeerRecord[];
  readonly close: () => void;
}

export interface PeerGroupOptions {
  readonly self: PeerRecord;
  readonly board: ServerBoard;
  readonly isAccepting: () => boolean;
  /** Called for a backend server that a peer found lost. */
  readonly onLost: (id: string, bornMs: number) => void;
  /** Monotonic clock, milliseconds. */
  readonly now: () => number;
  readonly log: (message: string, fields: LogFields) => void;
}

/** Shortest time between heartbeats, milliseconds. */
const HEARTBEAT_MS = 250;

/** Time that each peer adds to it, milliseconds, which bounds the datagrams a second. */
const HEARTBEAT_PER_PEER_MS = 14;

/** Heartbeats that may be lost in a row before a VM counts as gone. */
const MISSED_HEARTBEATS = 5;

/** Silence after which a VM's record is removed, milliseconds. */
const DEPARTED_MS = 10_000;

/** Binds the socket and starts to send. */
export function createPeerGroup(options: PeerGroupOptions): PeerGroup {
  const { self, board, isAccepting, now, log } = options;
  const heard = new Map<string, HeardPeer>();
  const firstSeenMs = new Map<string, number>();
  let records: readonly PeerRecord[] = [self];
  const socket = createSocket('udp4');
  const [host, port] = self.peerAddress.split(':');
  const intervalMs = (): number => Math.max(HEARTBEAT_MS, records.length * HEARTBEAT_PER_PEER_MS);

  const announce = (): void => {
    const lost = board.suspicions().map(({ id, bornMs }) => ({ id, bornMs }));
    const datagram = encodeHeartbeat({
      vm: self.vm,
      incarnation: self.incarnation,
      isAccepting: isAccepting(),
      loads: board.ownLoads(),
      lost,
    });
    for (const { vm, peerAddress } of records) {
      if (vm === self.vm) continue;
      const [peerHost, peerPort] = peerAddress.split(':');
      // A datagram that cannot be sent is a heartbeat missed; the receiver bounds those.
      socket.send(datagram, Number(peerPort), peerHost, () => undefined);
    }
  };
  socket.on('message', (datagram) => {
    const heartbeat = decodeHeartbeat(datagram);
    if (heartbeat === undefined) return;
    const { vm, incarnation } = heartbeat;
    const known = heard.get(vm);
    if (known?.incarnation !== incarnation) log('peer heard', { peer: vm, incarnation });
    else if (known.isAccepting !== heartbeat.isAccepting) {
      log('peer changed', { peer: vm, isAccepting: heartbeat.isAccepting });
    }
    heard.set(vm, { incarnation, isAccepting: heartbeat.isAccepting, heardMs: now() });
    board.learnLoads(vm, heartbeat.loads);
    for (const { id, bornMs } of heartbeat.lost) options.onLost(id, bornMs);
  });
  socket.on('error', (error) => {
    log('peer socket failed', { error: error.message });
  });
  socket.bind(Number(port), host);
  let timer: NodeJS.Timeout;
  const beat = (): void => {
    announce();
    timer = setTimeout(beat, intervalMs());
  };
  beat();
  return {
    learnRecords: (next) => {
      records = next.some(({ vm }) => vm === self.vm) ? next : [...next, self];
      for (const { incarnation } of records) {
        if (!firstSeenMs.has(incarnation)) firstSeenMs.set(incarnation, now());
      }
    },
    live: () =>
      listLivePeers({
        records,
        heard,
        firstSeenMs,
        self: self.vm,
        isSelfAccepting: isAccepting(),
        nowMs: now(),
        silentMs: intervalMs() * MISSED_HEARTBEATS,
      }),
    size: () => records.length,
    announce,
    departed: () =>
      records.filter(({ vm, incarnation }) => {
        const lastMs = Math.max(heard.get(vm)?.heardMs ?? 0, firstSeenMs.get(incarnation) ?? now());
        return vm !== self.vm && now() - lastMs > DEPARTED_MS;
      }),
    close: () => {
      clearTimeout(timer);
      socket.close();
    },
  };
}
