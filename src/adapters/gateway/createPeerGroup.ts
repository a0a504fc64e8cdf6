/**
 * Keeps this VM and its peers aware of each other by heartbeats with the work on the backend servers,
 * sent to everybody in a small fleet and by way of relays in a large one. Membership itself is rows of
 * the store.
 */

import { createSocket } from 'node:dgram';
import type { ServerRegistry } from '../../gateway/createServerRegistry';
import type { GatewayWork } from '../../gateway/gatewayWork';
import type { LogFields } from '../../gateway/job';
import { chooseRelays, isRelayedFleet } from '../../peers/chooseRelays';
import { sumWork, subtractWork } from '../../peers/combineWork';
import { createDigestCache } from '../../peers/createDigestCache';
import { createRelayMonitor } from '../../peers/createRelayMonitor';
import { buildDomainDigest } from '../../peers/buildDomainDigest';
import { decodeHeartbeat, encodeHeartbeat } from '../../peers/heartbeatCodec';
import { listLivePeers } from '../../peers/listLivePeers';
import type { DomainDigest, PeerStatus, Heartbeat, PeerRecord } from '../../peers/peer';
import type { DigestScope } from '../../peers/planHeartbeats';
import { planHeartbeats } from '../../peers/planHeartbeats';

export interface PeerGroup {
  readonly learnRecords: (records: readonly PeerRecord[]) => void;
  /** VMs that accept callers. */
  readonly live: () => readonly PeerRecord[];
  /** VMs of which a record is known, this one included. */
  readonly size: () => number;
  /** VMs of the own failure domain that follow the store for the others; none in a small fleet. */
  readonly relays: () => readonly PeerRecord[];
  /** Tells all peers at once, outside the usual rhythm. */
  readonly announce: () => void;
  /** The same in a moment, for changes that may come several at a time. */
  readonly announceSoon: () => void;
  /** Records of VMs that have been silent for long. */
  readonly departed: () => readonly PeerRecord[];
  readonly close: () => void;
}

export interface PeerGroupOptions {
  readonly self: PeerRecord;
  readonly board: ServerRegistry;
  readonly isAccepting: () => boolean;
  /** Called for a backend server that a peer found lost. */
  readonly onLost: (id: string, bornMs: number) => void;
  /** Called for a backend server that a relay found lost and no longer does. */
  readonly onAnswering: (id: string) => void;
  /** Monotonic clock, milliseconds. */
  readonly now: () => number;
  readonly log: (message: string, fields: LogFields) => void;
}

/** Time between heartbeats of a small fleet, milliseconds. */
const HEARTBEAT_MS = 250;

/** Time that each peer adds to it, milliseconds, which bounds the datagrams a second. */
const HEARTBEAT_PER_PEER_MS = 14;

/**
 * Time between heartbeats in a fleet with relays, milliseconds. All VMs of a domain hear of work at the
 * same moments; until the next, they send their requests to the same engines.
 */
const RELAYED_HEARTBEAT_MS = 150;

/** Heartbeats for each one that goes to the relays of other failure domains. */
const BEATS_PER_FAR_BEAT = 2;

/** Heartbeats to the own domain for each one that names the VMs and the work of other domains too. */
const BEATS_PER_FULL_BEAT = 4;

/** Pause before a change is told ahead of a heartbeat, milliseconds: changes often come together. */
const SOON_MS = 40;

/** Heartbeats that may be missed in a row before a VM counts as gone. */
const MISSED_HEARTBEATS = 5;

/** Silence after which a VM counts as gone in a fleet with relays, milliseconds: one of them may fail. */
const RELAYED_SILENT_MS = 2_400;

/** Age at which the work of a VM no longer counts, milliseconds: some heartbeats were missed. */
const WORK_VALID_MS = 3_000;

/** Silence after which a VM's record is removed, milliseconds. */
const DEPARTED_MS = 10_000;

/** Binds the socket and starts to send. */
export function createPeerGroup(options: PeerGroupOptions): PeerGroup {
  const { self, board, isAccepting, now, log } = options;
  const heard = new Map<string, PeerStatus>();
  const firstSeenMs = new Map<string, number>();
  let records: readonly PeerRecord[] = [self];
  const socket = createSocket('udp4');
  const [host, port] = self.peerAddress.split(':');
  const relayWatch = createRelayMonitor(now);
  const digests = createDigestCache(now, WORK_VALID_MS);
  let beats = 0;
  /** Backend servers that each relay last named as lost. */
  const lostBy = new Map<string, ReadonlySet<string>>();
  let sentWork: GatewayWork = { servers: new Map(), crossingPerMs: 0 };
  const isRelayed = (): boolean => isRelayedFleet(records.length);
  const intervalMs = (): number =>
    isRelayed()
      ? RELAYED_HEARTBEAT_MS
      : Math.max(HEARTBEAT_MS, records.length * HEARTBEAT_PER_PEER_MS);
  const silentMs = (): number =>
    isRelayed() ? RELAYED_SILENT_MS : intervalMs() * MISSED_HEARTBEATS;
  const ownDigest = (): DomainDigest =>
    buildDomainDigest({
      failureDomain: self.failureDomain,
      self: {
        vm: self.vm,
        incarnation: self.incarnation,
        isAccepting: isAccepting(),
        heardAgoMs: 0,
      },
      ownWork: board.ownWork(),
      records,
      statuses: heard,
      nowMs: now(),
      validMs: WORK_VALID_MS,
    });
  type Digests = (isFullBeat: boolean) => readonly DomainDigest[];
  const digestsFor: Readonly<Record<DigestScope, Digests>> = {
    none: () => [],
    own: () => [ownDigest()],
    all: (isFullBeat) =>
      isFullBeat
        ? [ownDigest(), ...digests.listOtherDomains(self.failureDomain)]
        : [{ ...ownDigest(), members: [] }],
  };
  const announce = (): void => {
    // The next full heartbeat is this one: whoever announces out of turn has a change to tell.
    beats = -1;
    sendHeartbeats();
  };
  const sendHeartbeats = (): void => {
    const lost = board.suspicions().map(({ id, bornMs }) => ({ id, bornMs }));
    const targets = planHeartbeats(self, records, relayWatch.isSilent);
    relayWatch.check(targets.filter(({ isRelay }) => isRelay).map(({ peer }) => peer.vm));
    sentWork = sumWork([board.ownWork()]);
    const datagrams = new Map<DigestScope, Uint8Array>();
    beats += 1;
    const isFarBeat = beats % BEATS_PER_FAR_BEAT === 0;
    const isFullBeat = beats % BEATS_PER_FULL_BEAT === 0;
    for (const { peer, scope } of targets) {
      if (scope === 'own' && !isFarBeat) continue;
      const datagram =
        datagrams.get(scope) ??
        encodeHeartbeat({
          vm: self.vm,
          incarnation: self.incarnation,
          isAccepting: isAccepting(),
          work: sentWork,
          lost,
          domains: digestsFor[scope](isFullBeat),
        });
      datagrams.set(scope, datagram);
      const [peerHost, peerPort] = peer.peerAddress.split(':');
      // A datagram that cannot be sent is a heartbeat missed; the receiver bounds those.
      socket.send(datagram, Number(peerPort), peerHost, () => undefined);
    }
  };
  let announcing: NodeJS.Timeout | undefined;
  const announceSoon = (): void => {
    announcing ??= setTimeout(() => {
      announcing = undefined;
      announce();
    }, SOON_MS);
  };
  /** Tells others of a change ahead of the next heartbeat, where they hear of it through this VM. */
  const passOn = (): void => {
    const targets = planHeartbeats(self, records, relayWatch.isSilent);
    if (targets.some(({ scope }) => scope !== 'none')) announceSoon();
  };
  const noteHeard = (vm: string, word: PeerStatus): void => {
    const known = heard.get(vm);
    if (known !== undefined && known.heardMs > word.heardMs) return;
    if (known?.incarnation !== word.incarnation) {
      log('peer heard', { peer: vm, incarnation: word.incarnation });
    } else if (known.isAccepting !== word.isAccepting) {
      log('peer changed', { peer: vm, isAccepting: word.isAccepting });
      passOn();
    }
    heard.set(vm, word);
  };
  const learnDigest = (digest: DomainDigest): void => {
    const { failureDomain, members, work } = digest;
    const nowMs = now();
    const isOwn = failureDomain === self.failureDomain;
    for (const { vm, incarnation, isAccepting: accepts, heardAgoMs } of members) {
      if (vm === self.vm) continue;
      noteHeard(vm, { incarnation, isAccepting: accepts, heardMs: nowMs - heardAgoMs });
      // Their work is part of the sum.
      board.removePeerWork(vm);
    }
    digests.record(digest);
    board.mergePeerWork(failureDomain, isOwn ? subtractWork(work, sentWork) : work);
  };
  const learnOwnWord = ({ vm, incarnation, isAccepting: accepts, work }: Heartbeat): void => {
    noteHeard(vm, { incarnation, isAccepting: accepts, heardMs: now(), work });
    // This VM is a relay, or the fleet is small: it adds up the work of its domain itself.
    board.removePeerWork(self.failureDomain);
    board.mergePeerWork(vm, work);
  };
  const learnLost = ({ vm, lost, domains }: Heartbeat): void => {
    for (const { id, bornMs } of lost) options.onLost(id, bornMs);
    if (domains.length === 0) return;
    const ids = new Set(lost.map(({ id }) => id));
    for (const id of lostBy.get(vm) ?? []) if (!ids.has(id)) options.onAnswering(id);
    lostBy.set(vm, ids);
  };
  socket.on('message', (datagram) => {
    const heartbeat = decodeHeartbeat(datagram);
    if (heartbeat === undefined) return;
    relayWatch.recordHeartbeat(heartbeat.vm);
    if (heartbeat.domains.length === 0) learnOwnWord(heartbeat);
    else for (const digest of heartbeat.domains) learnDigest(digest);
    learnLost(heartbeat);
  });
  socket.on('error', (error) => {
    log('peer socket failed', { error: error.message });
  });
  socket.bind(Number(port), host);
  let timer: NodeJS.Timeout;
  const beat = (): void => {
    sendHeartbeats();
    timer = setTimeout(beat, intervalMs());
  };
  beat();
  /** Drops what is kept of VMs that have no record and were not heard for long. */
  const forgetDeparted = (): void => {
    const incarnations = new Set(records.map(({ incarnation }) => incarnation));
    for (const key of firstSeenMs.keys()) if (!incarnations.has(key)) firstSeenMs.delete(key);
    const listed = new Set(records.map(({ vm }) => vm));
    for (const [vm, { heardMs }] of heard) {
      if (listed.has(vm) || now() - heardMs < DEPARTED_MS) continue;
      heard.delete(vm);
      lostBy.delete(vm);
    }
  };
  return {
    learnRecords: (next) => {
      records = next.some(({ vm }) => vm === self.vm) ? next : [...next, self];
      for (const { incarnation } of records) {
        if (!firstSeenMs.has(incarnation)) firstSeenMs.set(incarnation, now());
      }
      forgetDeparted();
    },
    live: () =>
      listLivePeers({
        records,
        statuses: heard,
        firstSeenMs,
        self: self.vm,
        isSelfAccepting: isAccepting(),
        nowMs: now(),
        silentMs: silentMs(),
      }),
    size: () => records.length,
    relays: () =>
      isRelayed() ? chooseRelays(records, self.failureDomain, relayWatch.isSilent) : [],
    announce,
    announceSoon,
    departed: () =>
      records.filter(({ vm, incarnation }) => {
        const lastMs = Math.max(heard.get(vm)?.heardMs ?? 0, firstSeenMs.get(incarnation) ?? now());
        return vm !== self.vm && now() - lastMs > DEPARTED_MS;
      }),
    close: () => {
      clearTimeout(timer);
      clearTimeout(announcing);
      socket.close();
    },
  };
}
