/**
 * Exchanges heartbeats with the other VMs. They carry the work on the backend servers, and go to every VM
 * in a small fleet and through relays in a large one. Membership itself is kept in rows of the store.
 */

import type { ServerRegistry } from '../../gateway/serverRegistry';
import type { GatewayWork } from '../../gateway/gatewayWork';
import type { LogFields } from '../../gateway/job';
import { chooseRelays, isRelayedFleet } from '../../peers/chooseRelays';
import { sumWork, subtractWork } from '../../peers/combineWork';
import { createDigestCache } from '../../peers/createDigestCache';
import { createRelayMonitor } from '../../peers/createRelayMonitor';
import { buildDomainDigest } from '../../peers/buildDomainDigest';
import { decodeHeartbeat, encodeHeartbeat } from '../../peers/heartbeatCodec';
import { listLivePeers } from '../../peers/listLivePeers';
import { listMembers } from '../../peers/listMembers';
import type { DomainDigest, PeerStatus, Heartbeat, PeerRecord } from '../../peers/peer';
import type { DigestScope } from '../../peers/planHeartbeats';
import { planHeartbeats } from '../../peers/planHeartbeats';
import { readDatagramFormat } from '../../peers/readDatagramFormat';
import { createPeerSocket } from './createPeerSocket';

export interface PeerGroup {
  readonly setRecords: (records: readonly PeerRecord[]) => void;
  /** VMs that accept callers. */
  readonly live: () => readonly PeerRecord[];
  /** Names of all VMs that may send to backend servers; undefined until the records have been read. */
  readonly members: () => readonly string[] | undefined;
  /** Number of VMs with a known record, including this one. */
  readonly size: () => number;
  /** VMs of this failure domain that follow the store for the others; none in a small fleet. */
  readonly relays: () => readonly PeerRecord[];
  /** Whether other VMs learn from this one what it has heard; in a fleet with relays, they do from relays only. */
  readonly passesOn: () => boolean;
  /** Sends heartbeats immediately, ahead of the interval. */
  readonly announce: () => void;
  /** Sends a datagram to the VMs that get this VM's heartbeats. */
  readonly broadcast: (datagram: Uint8Array) => void;
  /** Announces after a short delay, which batches changes that come together. */
  readonly announceSoon: () => void;
  /** Records of VMs that have been silent for so long that they can be removed. */
  readonly departed: () => readonly PeerRecord[];
  readonly close: () => void;
}

export interface PeerGroupOptions {
  readonly self: PeerRecord;
  readonly registry: ServerRegistry;
  readonly isAccepting: () => boolean;
  /** Called for a backend server that a peer reports as not answering. */
  readonly onSuspected: (id: string, bornMs: number) => void;
  /** Called for a backend server that a relay no longer reports as not answering. */
  readonly onRecovered: (id: string) => void;
  /** Called for a datagram that is not a heartbeat. */
  readonly onDatagram?: (datagram: Uint8Array) => void;
  /** Called when a VM is heard for the first time since its start. */
  readonly onStarted?: () => void;
  /** Monotonic clock, milliseconds. */
  readonly now: () => number;
  readonly log: (message: string, fields: LogFields) => void;
}

/** Minimum heartbeat interval of a small fleet. */
const HEARTBEAT_MS = 250;

/** Interval added for each VM, which bounds the datagrams per second. */
const HEARTBEAT_PER_PEER_MS = 14;

/**
 * Heartbeat interval in a fleet with relays. All VMs of a domain receive the work at the same moments, and
 * send their requests to the same engines until the next heartbeat.
 */
const RELAYED_HEARTBEAT_MS = 150;

/** Heartbeats within the domain per heartbeat that includes the VMs and work of all domains. */
const HEARTBEATS_PER_FULL_HEARTBEAT = 4;

/** Delay before a change is announced ahead of the next heartbeat; changes often come together. */
const ANNOUNCE_DELAY_MS = 40;

/** Consecutive missed heartbeats after which a VM counts as not live. */
const MISSED_HEARTBEATS = 5;

/** Silence after which a VM counts as not live in a fleet with relays, where one relay may fail. */
const RELAYED_SILENT_MS = 2_400;

/** Maximum age of the work that a VM reported; allows for some missed heartbeats. */
const WORK_VALID_MS = 3_000;

/** Silence after which a VM's record is removed. */
const DEPARTED_MS = 10_000;

/** Binds the socket and starts the heartbeats. */
export function createPeerGroup(options: PeerGroupOptions): PeerGroup {
  const { self, registry, isAccepting, now, log } = options;
  const statuses = new Map<string, PeerStatus>();
  const firstSeenMs = new Map<string, number>();
  let records: readonly PeerRecord[] = [self];
  /** Listed anew with each heartbeat, as requests ask for them often. */
  let members: readonly string[] | undefined;
  const relayMonitor = createRelayMonitor(now);
  const digests = createDigestCache(now, WORK_VALID_MS);
  let heartbeatCount = 0;
  /** Backend servers that each relay last reported as not answering. */
  const suspectsByVm = new Map<string, ReadonlySet<string>>();
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
      ownWork: registry.ownWork(),
      records,
      statuses,
      nowMs: now(),
      validMs: WORK_VALID_MS,
    });
  type Digests = (isFullHeartbeat: boolean) => readonly DomainDigest[];
  const digestsByScope: Readonly<Record<DigestScope, Digests>> = {
    none: () => [],
    own: () => [ownDigest()],
    all: (isFullHeartbeat) =>
      isFullHeartbeat
        ? [ownDigest(), ...digests.listOtherDomains(self.failureDomain)]
        : [{ ...ownDigest(), members: [] }],
  };
  const sendTo = ({ peerAddress }: PeerRecord, datagram: Uint8Array): void => {
    socket.send(peerAddress, datagram);
  };
  const announce = (): void => {
    // Makes this heartbeat a full one, because it announces a change.
    heartbeatCount = -1;
    sendHeartbeats();
  };
  const listKnownMembers = (): readonly string[] =>
    listMembers({ records, statuses, nowMs: now(), silentMs: DEPARTED_MS });
  const sendHeartbeats = (): void => {
    members &&= listKnownMembers();
    const suspects = registry.suspicions().map(({ id, bornMs }) => ({ id, bornMs }));
    const targets = planHeartbeats(self, records, relayMonitor.isSilent);
    relayMonitor.check(targets.filter(({ isRelay }) => isRelay).map(({ peer }) => peer.vm));
    sentWork = sumWork([registry.ownWork()]);
    const datagrams = new Map<DigestScope, Uint8Array>();
    heartbeatCount += 1;
    const isFullHeartbeat = heartbeatCount % HEARTBEATS_PER_FULL_HEARTBEAT === 0;
    for (const { peer, scope, beats } of targets) {
      if (heartbeatCount % beats !== 0) continue;
      const datagram =
        datagrams.get(scope) ??
        encodeHeartbeat({
          vm: self.vm,
          incarnation: self.incarnation,
          isAccepting: isAccepting(),
          work: sentWork,
          lost: suspects,
          domains: digestsByScope[scope](isFullHeartbeat),
        });
      datagrams.set(scope, datagram);
      sendTo(peer, datagram);
    }
  };
  let announceTimer: NodeJS.Timeout | undefined;
  const announceSoon = (): void => {
    announceTimer ??= setTimeout(() => {
      announceTimer = undefined;
      announce();
    }, ANNOUNCE_DELAY_MS);
  };
  /** Announces a change ahead of the next heartbeat if other VMs depend on this VM for it. */
  const announceIfRelay = (): void => {
    const targets = planHeartbeats(self, records, relayMonitor.isSilent);
    if (targets.some(({ scope }) => scope !== 'none')) announceSoon();
  };
  const recordStatus = (vm: string, status: PeerStatus): void => {
    const known = statuses.get(vm);
    if (known !== undefined && known.heardMs > status.heardMs) return;
    if (known?.incarnation !== status.incarnation) {
      log('peer heard', { peer: vm, incarnation: status.incarnation });
      options.onStarted?.();
    } else if (known.isAccepting !== status.isAccepting) {
      log('peer changed', { peer: vm, isAccepting: status.isAccepting });
      announceIfRelay();
    }
    statuses.set(vm, status);
  };
  const mergeDigest = (digest: DomainDigest): void => {
    const { failureDomain, members, work } = digest;
    const nowMs = now();
    const isOwn = failureDomain === self.failureDomain;
    for (const { vm, incarnation, isAccepting: accepts, heardAgoMs } of members) {
      if (vm === self.vm) continue;
      recordStatus(vm, { incarnation, isAccepting: accepts, heardMs: nowMs - heardAgoMs });
      // The sum in the digest already includes this member's work.
      registry.removePeerWork(vm);
    }
    digests.record(digest);
    registry.mergePeerWork(failureDomain, isOwn ? subtractWork(work, sentWork) : work);
  };
  const mergeHeartbeat = ({ vm, incarnation, isAccepting: accepts, work }: Heartbeat): void => {
    recordStatus(vm, { incarnation, isAccepting: accepts, heardMs: now(), work });
    // In a small fleet or as a relay, this VM sums the work of its domain itself.
    registry.removePeerWork(self.failureDomain);
    registry.mergePeerWork(vm, work);
  };
  const mergeSuspects = ({ vm, lost, domains }: Heartbeat): void => {
    for (const { id, bornMs } of lost) options.onSuspected(id, bornMs);
    if (domains.length === 0) return;
    const ids = new Set(lost.map(({ id }) => id));
    for (const id of suspectsByVm.get(vm) ?? []) if (!ids.has(id)) options.onRecovered(id);
    suspectsByVm.set(vm, ids);
  };
  const receive = (datagram: Uint8Array): void => {
    const isReport = readDatagramFormat(datagram) !== undefined;
    const heartbeat = isReport ? undefined : decodeHeartbeat(datagram);
    if (heartbeat === undefined) {
      options.onDatagram?.(datagram);
      return;
    }
    relayMonitor.recordHeartbeat(heartbeat.vm);
    if (heartbeat.domains.length === 0) mergeHeartbeat(heartbeat);
    else for (const digest of heartbeat.domains) mergeDigest(digest);
    mergeSuspects(heartbeat);
  };
  const socket = createPeerSocket({ address: self.peerAddress, onDatagram: receive, log });
  let timer: NodeJS.Timeout;
  const sendPeriodically = (): void => {
    sendHeartbeats();
    timer = setTimeout(sendPeriodically, intervalMs());
  };
  sendPeriodically();
  /** Removes the state of VMs that have no record and have been silent for long. */
  const removeDeparted = (): void => {
    const incarnations = new Set(records.map(({ incarnation }) => incarnation));
    for (const key of firstSeenMs.keys()) if (!incarnations.has(key)) firstSeenMs.delete(key);
    const listed = new Set(records.map(({ vm }) => vm));
    for (const [vm, { heardMs }] of statuses) {
      if (listed.has(vm) || now() - heardMs < DEPARTED_MS) continue;
      statuses.delete(vm);
      suspectsByVm.delete(vm);
    }
  };
  const relays = (): readonly PeerRecord[] =>
    isRelayed() ? chooseRelays(records, self.failureDomain, relayMonitor.isSilent) : [];
  return {
    setRecords: (next) => {
      records = next.some(({ vm }) => vm === self.vm) ? next : [...next, self];
      for (const { incarnation } of records) {
        if (!firstSeenMs.has(incarnation)) firstSeenMs.set(incarnation, now());
      }
      removeDeparted();
      members = listKnownMembers();
    },
    live: () =>
      listLivePeers({
        records,
        statuses,
        firstSeenMs,
        self: self.vm,
        isSelfAccepting: isAccepting(),
        nowMs: now(),
        silentMs: silentMs(),
      }),
    members: () => members,
    size: () => records.length,
    relays,
    passesOn: () => !isRelayed() || relays().some(({ vm }) => vm === self.vm),
    announce,
    broadcast: (datagram) => {
      for (const { peer } of planHeartbeats(self, records, relayMonitor.isSilent))
        sendTo(peer, datagram);
    },
    announceSoon,
    departed: () =>
      records.filter(({ vm, incarnation }) => {
        const lastMs = Math.max(
          statuses.get(vm)?.heardMs ?? 0,
          firstSeenMs.get(incarnation) ?? now(),
        );
        return vm !== self.vm && now() - lastMs > DEPARTED_MS;
      }),
    close: () => {
      clearTimeout(timer);
      clearTimeout(announceTimer);
      socket.close();
    },
  };
}
