/** Spreads contents that crash backend servers to every VM. */

import type { Suspect } from '../requests/routerMessage';
import type { Fleet, FleetDecision } from './fleet';
import {
  SUSPECT_TTL_MS,
  MAX_SUSPECTS,
  MAX_SUSPECT_SERVERS,
  RUMOR_SENDS_PER_DOUBLING,
} from './fleetConstants';
import type { SuspectTuple } from './gossip';
import type { FleetEffect } from './fleetMessage';

/** Takes in what this VM's router found out. */
export function handleSuspectsShared(
  fleet: Fleet,
  suspects: readonly Suspect[],
  atMs: number,
): FleetDecision {
  return { state: learn(fleet, suspects, atMs).fleet, effects: [] };
}

/** Takes in what another VM passed on, and tells the router what is new. */
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
  const { fleet: state, news } = learn(fleet, suspects, atMs);
  const effects: FleetEffect[] =
    news.length === 0 ? [] : [{ type: 'suspects-learned', suspects: news }];
  return { state, effects };
}

interface Learned {
  readonly fleet: Fleet;
  readonly news: readonly Suspect[];
}

/** What no VM knew before is news: another crash, or the lesser name of two designated servers. */
function learn(fleet: Fleet, suspects: readonly Suspect[], atMs: number): Learned {
  const news: Suspect[] = [];
  let known = fleet.sharing.suspects;
  const sends = Math.ceil(RUMOR_SENDS_PER_DOUBLING * Math.log2(fleet.membership.liveVms + 1));
  for (const suspect of suspects) {
    const before = known.get(suspect.fingerprint)?.suspect;
    if (before !== undefined && !isNews(suspect, before)) continue;
    if (before === undefined && known.size >= MAX_SUSPECTS) known = known.remove(oldest(known));
    const joined = joinSuspects(suspect, before);
    const crashedAtMs = atMs - suspect.ageMs;
    known = known.set(suspect.fingerprint, { suspect: joined, crashedAtMs, sendsLeft: sends });
    news.push(joined);
  }
  const kept = known.filter(({ crashedAtMs }) => atMs - crashedAtMs < SUSPECT_TTL_MS);
  return { fleet: { ...fleet, sharing: { ...fleet.sharing, suspects: kept } }, news };
}

function isNews(suspect: Suspect, before: Suspect): boolean {
  const joined = joinSuspects(suspect, before);
  const isMore = joined.crashes > before.crashes;
  const isWider = (joined.servers?.length ?? 0) > (before.servers?.length ?? 0);
  return isMore || isWider || joined.designated !== before.designated;
}

/** Crashes of different servers are different crashes, whichever VM saw them. */
function joinSuspects(suspect: Suspect, before: Suspect | undefined): Suspect {
  if (before === undefined) return suspect;
  const all = new Set([...(before.servers ?? []), ...(suspect.servers ?? [])]);
  const servers = [...all].slice(0, MAX_SUSPECT_SERVERS);
  const crashes = Math.max(before.crashes, suspect.crashes, servers.length);
  const designated = lesser(before.designated, suspect.designated);
  return { ...suspect, servers, crashes, ...(designated === undefined ? {} : { designated }) };
}

function lesser(one: string | undefined, other: string | undefined): string | undefined {
  if (one === undefined || other === undefined) return one ?? other;
  return one < other ? one : other;
}

function oldest(known: Fleet['sharing']['suspects']): string {
  const first = known.minBy(({ crashedAtMs }) => crashedAtMs);
  return first?.suspect.fingerprint ?? '';
}
