/** Spreads contents that crash backend servers to every VM. */

import type { Suspect } from '../requests/routerMessage';
import type { Fleet, FleetDecision } from './fleet';
import { FORGET_SUSPECT_MS, MAX_SUSPECTS, RUMOR_SENDS_PER_DOUBLING } from './fleetConstants';
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
export function takeSuspectTuples(
  fleet: Fleet,
  tuples: readonly SuspectTuple[],
  atMs: number,
): FleetDecision {
  const suspects = tuples.map(([fingerprint, crashes, designated, ageMs]) => ({
    fingerprint,
    crashes,
    ageMs,
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

/** More crashes are news; so is the lesser name of two designated servers, so that all agree. */
function learn(fleet: Fleet, suspects: readonly Suspect[], atMs: number): Learned {
  const news: Suspect[] = [];
  let known = fleet.sharing.suspects;
  const sends = Math.ceil(RUMOR_SENDS_PER_DOUBLING * Math.log2(fleet.membership.liveVms + 1));
  for (const suspect of suspects) {
    const before = known.get(suspect.fingerprint)?.suspect;
    if (before !== undefined && !isNews(suspect, before)) continue;
    if (before === undefined && known.size >= MAX_SUSPECTS) known = known.remove(oldest(known));
    const crashedAtMs = atMs - suspect.ageMs;
    known = known.set(suspect.fingerprint, { suspect, crashedAtMs, sends });
    news.push(suspect);
  }
  const kept = known.filter(({ crashedAtMs }) => atMs - crashedAtMs < FORGET_SUSPECT_MS);
  return { fleet: { ...fleet, sharing: { ...fleet.sharing, suspects: kept } }, news };
}

function isNews(suspect: Suspect, before: Suspect): boolean {
  if (suspect.crashes !== before.crashes) return suspect.crashes > before.crashes;
  if (suspect.designated === undefined) return false;
  return before.designated === undefined || suspect.designated < before.designated;
}

function oldest(known: Fleet['sharing']['suspects']): string {
  const first = known.minBy(({ crashedAtMs }) => crashedAtMs);
  return first?.suspect.fingerprint ?? '';
}
