/** Handles datagrams from other VMs. */

import { allocateNonce } from './allocateNonce';
import { chain } from './chain';
import { decodeEntry } from './decodeEntry';
import { decodeRecord } from './decodeRecord';
import { fetchConfiguration } from './fetchConfiguration';
import type { Fleet, FleetDecision } from './fleet';
import { MAX_RELAYED_PROBES } from './fleetConstants';
import type { FleetEvent } from './fleetMessage';
import { gossipSchema } from './gossip';
import type { Gossip, GossipKind } from './gossip';
import { mergeDigests } from './mergeDigests';
import { mergeEntry } from './mergeEntry';
import { mergeHead } from './mergeHead';
import { mergeRecord } from './mergeRecord';
import { recordPeerContact } from './recordPeerContact';
import { requestRecords } from './requestRecords';
import { sendGossip } from './sendGossip';
import { sendUpdates } from './sendUpdates';
import { mergeSuspectTuples } from './shareSuspects';
import { forwardUsageSums, handleUsageReport } from './shareUsage';
import { withMembership } from './withMembership';

type DatagramEvent = Extract<FleetEvent, { readonly type: 'datagram-received' }>;

type KindHandler = (fleet: Fleet, gossip: Gossip, event: DatagramEvent) => FleetDecision;

const handlers: Readonly<Record<GossipKind, KindHandler>> = {
  ping: (fleet, gossip, event) =>
    sendGossip(
      fleet,
      { kind: 'ack', to: event.from, ...receiverOf(fleet, gossip), nonce: gossip.n },
      event.atMs,
    ),
  ack: (fleet, gossip, event) => handleAck(fleet, gossip, event),
  ask: (fleet, gossip, event) => handleProbeRequest(fleet, gossip, event),
  told: (fleet, gossip) => handleProbeResult(fleet, gossip),
  news: (fleet) => ({ state: fleet, effects: [] }),
  digest: (fleet) => ({ state: fleet, effects: [] }),
  use: (fleet, gossip, event) =>
    handleUsageReport(
      fleet,
      gossip.u ?? [],
      gossip.e[0],
      { to: event.from, nonce: gossip.n },
      event.atMs,
    ),
  sums: (fleet, gossip) => forwardUsageSums(fleet, gossip.u ?? []),
};

/** Merges and answers one datagram; malformed ones and those of unknown kinds are counted. */
export function handleDatagram(fleet: Fleet, event: DatagramEvent): FleetDecision {
  const parsed = gossipSchema.safeParse(event.body);
  if (!parsed.success) return drop(fleet, 'malformed');
  const gossip = parsed.data;
  if (gossip.e[0] === fleet.vm.id && gossip.e[1] <= fleet.vm.incarnation) return drop(fleet, 'own');
  const handler = (handlers as Readonly<Record<string, KindHandler | undefined>>)[gossip.k];
  return chain(
    fleet,
    (state) => mergeGossip(state, gossip, event),
    (state) => handler?.(state, gossip, event) ?? drop(state, 'unknown-kind'),
  );
}

function drop(fleet: Fleet, reason: string): FleetDecision {
  return {
    state: fleet,
    effects: [{ type: 'count', counter: 'datagrams_dropped', by: 1, labels: { reason } }],
  };
}

function receiverOf(fleet: Fleet, gossip: Gossip): { readonly toId?: string } {
  const id = gossip.e[0];
  return fleet.membership.members.has(id) ? { toId: id } : {};
}

/** Merges the parts that a datagram of any kind may carry. */
function mergeGossip(fleet: Fleet, gossip: Gossip, event: DatagramEvent): FleetDecision {
  const { atMs, seed } = event;
  const entries = [gossip.e, ...(gossip.m ?? [])].map(decodeEntry);
  return chain(
    fleet,
    ...(gossip.f ?? []).map(
      (tuple) => (state: Fleet) => mergeRecord(state, decodeRecord(tuple), atMs),
    ),
    (state) => ({ state: recordPeerContact(state, gossip, atMs), effects: [] }),
    ...entries.map((entry) => (state: Fleet) => mergeEntry(state, entry, atMs)),
    (state) => sendRefutation(fleet, state, event),
    (state) => requestUnknownRecords(state, gossip, atMs),
    (state) => fetchConfiguration(mergeHead(state, gossip.h), atMs, seed),
    (state) => mergeDigests(state, gossip.s ?? [], atMs, seed),
    (state) => mergeSuspectTuples(state, gossip.x ?? [], atMs),
  );
}

/** If this VM was suspected, sends its refutation immediately to the sender and some other VMs. */
function sendRefutation(before: Fleet, fleet: Fleet, event: DatagramEvent): FleetDecision {
  if (fleet.membership.version === before.membership.version) return { state: fleet, effects: [] };
  const { from, atMs, seed } = event;
  return chain(
    fleet,
    (state) => sendGossip(state, { kind: 'news', to: from, nonce: 0 }, atMs),
    (state) => sendUpdates(state, atMs, seed),
  );
}

/** Requests records if the datagram names a VM, or an incarnation, whose full record is missing. */
function requestUnknownRecords(fleet: Fleet, gossip: Gossip, atMs: number): FleetDecision {
  const { members } = fleet.membership;
  const sender = members.get(gossip.e[0]);
  if (sender === undefined) return { state: fleet, effects: [] };
  const isUnknown = ([id, incarnation]: readonly [string, number, ...unknown[]]): boolean =>
    id !== fleet.vm.id && (members.get(id)?.vm.incarnation ?? -1) < incarnation;
  const hasUnknown = (gossip.m ?? []).some(isUnknown);
  const hasNeverRequested = fleet.membership.recordsRequestedAtMs === -Infinity;
  if (!hasUnknown && !hasNeverRequested) return { state: fleet, effects: [] };
  return requestRecords(fleet, sender, atMs);
}

/** An answer proves that the target runs; if the probe was sent after this VM resumed, also fresh contact. */
function handleAck(fleet: Fleet, gossip: Gossip, event: DatagramEvent): FleetDecision {
  const { probes, relays } = fleet.membership;
  const relay = relays.get(gossip.n);
  const isFresh = gossip.n >= fleet.availability.minValidNonce;
  const availability = isFresh
    ? { ...fleet.availability, hasFreshAnswer: true, peerLastSeenAtMs: event.atMs }
    : fleet.availability;
  const state = withMembership(
    { ...fleet, availability },
    { probes: probes.remove(gossip.n), relays: relays.remove(gossip.n) },
  );
  if (relay === undefined) return { state, effects: [] };
  const answer = { kind: 'told', to: relay.requester, nonce: relay.requesterNonce } as const;
  return sendGossip(state, { ...answer, toId: gossip.e[0], target: relay.target }, event.atMs);
}

function handleProbeRequest(fleet: Fleet, gossip: Gossip, event: DatagramEvent): FleetDecision {
  const { relays, members } = fleet.membership;
  const target = members.get(gossip.t ?? '');
  if (target === undefined || relays.size >= MAX_RELAYED_PROBES) {
    return { state: fleet, effects: [] };
  }
  const allocated = allocateNonce(fleet);
  const relay = {
    requester: event.from,
    requesterNonce: gossip.n,
    target: target.id,
    startedAtMs: event.atMs,
  };
  const state = withMembership(allocated.fleet, { relays: relays.set(allocated.nonce, relay) });
  const to = target.vm.addresses.gossip;
  const ping = { kind: 'ping', to, toId: target.id, nonce: allocated.nonce } as const;
  return sendGossip(state, ping, event.atMs);
}

function handleProbeResult(fleet: Fleet, gossip: Gossip): FleetDecision {
  const { probes } = fleet.membership;
  const isMatch = probes.get(gossip.n)?.target === gossip.t;
  return {
    state: isMatch ? withMembership(fleet, { probes: probes.remove(gossip.n) }) : fleet,
    effects: [],
  };
}
