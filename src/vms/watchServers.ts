/** Probes backend servers as one of their watchers, and any server whose last report is stale. */

import { chain } from './chain';
import { encodeDigest } from './encodeDigest';
import type { Fleet, FleetDecision } from './fleet';
import {
  DIGEST_DELAY_MS,
  MAX_OWN_PROBES,
  OWN_PROBE_AGE_MS,
  SERVER_PROBE_PERIOD_MS,
  SERVER_REPORT_TTL_MS,
} from './fleetConstants';
import type { FleetEffect } from './fleetMessage';
import { getServerRecord } from './getServerRecord';
import type { DigestTuple } from './gossip';
import { sendGossip } from './sendGossip';
import type { ServerRecord, ServerReport } from './serverRecord';
import { splitDigests } from './splitDigests';
import type { VmId } from './vm';
import { withServer } from './withServer';

/**
 * Starts the probes and digests that are due.
 *
 * The VMs of a region form a ring. A watcher sends its digests to the next `g - 1` VMs, where `g` is the
 * square root of the ring's length. Once per period, each VM relays the digests that it received from
 * watchers to every `g`-th VM after it. Each VM thus gets reports of each server over two hops, at a cost
 * of about `2 g` datagrams.
 *
 * @param fleet the state
 * @param atMs now
 */
export function watchServers(fleet: Fleet, atMs: number): FleetDecision {
  return chain(
    fleet,
    (state) => probeWatched(state, atMs),
    (state) => sendOwnDigests(state, atMs),
    (state) => relayDigests(state, atMs),
  );
}

function probeServer(fleet: Fleet, server: string, atMs: number): FleetDecision {
  const configured = fleet.configuration.applied.backendServer.get(server);
  if (configured === undefined) return { state: fleet, effects: [] };
  const { address } = configured;
  const effect: FleetEffect = { type: 'probe-server', server, address, askedAtMs: atMs };
  return { state: withServer(fleet, server, { probedAtMs: atMs }), effects: [effect] };
}

function probeWatched(fleet: Fleet, atMs: number): FleetDecision {
  const { watched, nextWatchAtMs } = fleet.servers;
  if (atMs < nextWatchAtMs) return { state: fleet, effects: [] };
  const servers = {
    ...fleet.servers,
    nextWatchAtMs: Math.max(nextWatchAtMs, atMs - SERVER_PROBE_PERIOD_MS) + SERVER_PROBE_PERIOD_MS,
    digestAtMs: atMs + DIGEST_DELAY_MS,
  };
  return chain(
    { ...fleet, servers },
    ...watched.map((server) => (state: Fleet) => probeServer(state, server, atMs)),
  );
}

/** Probes the servers in scope whose last report is stale, whichever VM watches them. */
export function probeStaleServers(fleet: Fleet, atMs: number): FleetDecision {
  const stale: string[] = [];
  for (const { id } of fleet.servers.scope) {
    if (stale.length >= MAX_OWN_PROBES) break;
    const { report, probedAtMs } = getServerRecord(fleet, id);
    const isStale = report === undefined || atMs - report.observedAtMs > OWN_PROBE_AGE_MS;
    if (isStale && atMs - probedAtMs > SERVER_PROBE_PERIOD_MS / 2) stale.push(id);
  }
  return chain(fleet, ...stale.map((server) => (state: Fleet) => probeServer(state, server, atMs)));
}

function sendOwnDigests(fleet: Fleet, atMs: number): FleetDecision {
  if (atMs < fleet.servers.digestAtMs) return { state: fleet, effects: [] };
  const state = { ...fleet, servers: { ...fleet.servers, digestAtMs: Infinity } };
  const digests = state.servers.watched.flatMap((id) => digestsOf(state, id, atMs, ['own'], false));
  const stride = strideOf(state);
  const targets = Array.from({ length: stride - 1 }, (_, index) => index + 1);
  return sendDigests(state, targets, digests, atMs);
}

function relayDigests(fleet: Fleet, atMs: number): FleetDecision {
  const { nextRelayAtMs, scope } = fleet.servers;
  if (atMs < nextRelayAtMs) return { state: fleet, effects: [] };
  const due = Math.max(nextRelayAtMs, atMs - SERVER_PROBE_PERIOD_MS) + SERVER_PROBE_PERIOD_MS;
  const state = { ...fleet, servers: { ...fleet.servers, nextRelayAtMs: due } };
  const watched = new Set(state.servers.watched);
  const viasOf = (id: string): readonly ServerReport['via'][] =>
    watched.has(id) ? ['own', 'watcher'] : ['watcher'];
  const digests = scope.flatMap(({ id }) => digestsOf(state, id, atMs, viasOf(id), true));
  const stride = strideOf(state);
  const steps = Math.max(0, Math.ceil(state.membership.ring.length / stride) - 1);
  const targets = Array.from({ length: steps }, (_, index) => (index + 1) * stride);
  return sendDigests(state, targets, digests, atMs);
}

function strideOf(fleet: Fleet): number {
  return Math.max(1, Math.ceil(Math.sqrt(fleet.membership.ring.length)));
}

function digestsOf(
  fleet: Fleet,
  server: string,
  atMs: number,
  vias: readonly ServerReport['via'][],
  isRelayed: boolean,
): readonly DigestTuple[] {
  const record: ServerRecord = getServerRecord(fleet, server);
  const { report } = record;
  if (report === undefined || !vias.includes(report.via)) return [];
  if (atMs - report.observedAtMs > SERVER_REPORT_TTL_MS / 2) return [];
  return [encodeDigest(server, record, report, atMs, isRelayed)];
}

/** Sends leaving servers first, in as many datagrams as needed. */
function sendDigests(
  fleet: Fleet,
  distances: readonly number[],
  digests: readonly DigestTuple[],
  atMs: number,
): FleetDecision {
  const ordered = [...digests].sort((one, other) => other[1] - one[1]);
  const parts = splitDigests(ordered);
  const targets = distances.map((distance) => memberAt(fleet, distance));
  return chain(
    fleet,
    ...targets.flatMap((id) =>
      parts.map((part) => (state: Fleet) => sendDigest(state, id, part, atMs)),
    ),
  );
}

function memberAt(fleet: Fleet, distance: number): VmId | undefined {
  const { ring } = fleet.membership;
  return ring[(ring.indexOf(fleet.vm.id) + distance) % ring.length];
}

function sendDigest(
  fleet: Fleet,
  id: VmId | undefined,
  digests: readonly DigestTuple[],
  atMs: number,
): FleetDecision {
  const member = id === undefined ? undefined : fleet.membership.members.get(id);
  if (member === undefined) return { state: fleet, effects: [] };
  const to = member.vm.addresses.gossip;
  return sendGossip(fleet, { kind: 'digest', to, toId: member.id, nonce: 0, digests }, atMs);
}
