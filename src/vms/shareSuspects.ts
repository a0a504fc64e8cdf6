/** Shares the fingerprints of contents suspected to crash backend servers with all VMs. */

import { joinCrashes } from '../crashes/joinCrashes';
import type { Suspect } from '../requests/routerMessage';
import type { Fleet, FleetDecision } from './fleet';
import {
  MAX_SUSPECT_SERVERS,
  MAX_SUSPECTS,
  RUMOR_SENDS_PER_DOUBLING,
  SUSPECT_TTL_MS,
} from './fleetConstants';
import type { FleetEffect } from './fleetMessage';
import type { SuspectTuple } from './gossip';

/** Merges suspects that this VM's router detected. */
export function handleSuspectsShared(
  fleet: Fleet,
  suspects: readonly Suspect[],
  atMs: number,
): FleetDecision {
  return { state: mergeSuspects(fleet, suspects, atMs).fleet, effects: [] };
}

/** Merges suspects received from another VM, and forwards new information to the router. */
export function mergeSuspectTuples(
  fleet: Fleet,
  tuples: readonly SuspectTuple[],
  atMs: number,
): FleetDecision {
  const suspects = tuples.map(([fingerprint, crashes, designated, ageMs, servers = []]) => ({
    fingerprint,
    crashes,
    ageMs,
    servers,
    ...(designated === null ? {} : { designated }),
  }));
  const { fleet: state, news } = mergeSuspects(fleet, suspects, atMs);
  const effects: FleetEffect[] =
    news.length === 0 ? [] : [{ type: 'suspects-learned', suspects: news }];
  return { state, effects };
}

interface MergeResult {
  readonly fleet: Fleet;
  readonly news: readonly Suspect[];
}

/**
 * Merges suspects. `news` lists those with new information: another crash, another crashed server, or a
 * lexicographically smaller designated server.
 */
function mergeSuspects(fleet: Fleet, suspects: readonly Suspect[], atMs: number): MergeResult {
  const news: Suspect[] = [];
  let known = fleet.sharing.suspects;
  const sendsLeft = Math.ceil(RUMOR_SENDS_PER_DOUBLING * Math.log2(fleet.membership.liveVms + 1));
  for (const suspect of suspects) {
    const before = known.get(suspect.fingerprint)?.suspect;
    if (before !== undefined && !hasNewInformation(suspect, before)) continue;
    if (before === undefined && known.size >= MAX_SUSPECTS) known = known.remove(findOldest(known));
    const joined = joinSuspects(suspect, before);
    const crashedAtMs = atMs - suspect.ageMs;
    known = known.set(suspect.fingerprint, { suspect: joined, crashedAtMs, sendsLeft });
    news.push(joined);
  }
  const kept = known.filter(({ crashedAtMs }) => atMs - crashedAtMs < SUSPECT_TTL_MS);
  return { fleet: { ...fleet, sharing: { ...fleet.sharing, suspects: kept } }, news };
}

function hasNewInformation(suspect: Suspect, before: Suspect): boolean {
  const joined = joinSuspects(suspect, before);
  const hasMoreCrashes = joined.crashes > before.crashes;
  const hasMoreServers = (joined.servers?.length ?? 0) > (before.servers?.length ?? 0);
  return hasMoreCrashes || hasMoreServers || joined.designated !== before.designated;
}

/** Crashes of different servers count as different crashes, whichever VM observed them. */
function joinSuspects(suspect: Suspect, before: Suspect | undefined): Suspect {
  if (before === undefined) return suspect;
  const { servers: all, crashes } = joinCrashes(before, suspect);
  const servers = all.slice(0, MAX_SUSPECT_SERVERS);
  const designated = minName(before.designated, suspect.designated);
  return { ...suspect, servers, crashes, ...(designated === undefined ? {} : { designated }) };
}

function minName(one: string | undefined, other: string | undefined): string | undefined {
  if (one === undefined || other === undefined) return one ?? other;
  return one < other ? one : other;
}

function findOldest(known: Fleet['sharing']['suspects']): string {
  const first = known.minBy(({ crashedAtMs }) => crashedAtMs);
  return first?.suspect.fingerprint ?? '';
}
