/** Selects the suspect contents for one datagram. */

import type { Fleet } from './fleet';
import { MAX_SUSPECTS_PER_DATAGRAM } from './fleetConstants';
import type { SuspectTuple } from './gossip';

/** Size of a suspect content without its texts, bytes. */
const SUSPECT_BYTES = 20;

export interface PackedSuspects {
  readonly fleet: Fleet;
  readonly tuples: readonly SuspectTuple[];
}

/**
 * Selects suspects with sends left, and decrements their sends.
 *
 * @param fleet the state
 * @param atMs now; the tuples carry ages, not timestamps
 * @param budget bytes left in the datagram
 */
export function packSuspects(fleet: Fleet, atMs: number, budget: number): PackedSuspects {
  const { suspects } = fleet.sharing;
  if (suspects.isEmpty()) return { fleet, tuples: [] };
  const tuples: SuspectTuple[] = [];
  let next = suspects;
  let bytes = 0;
  for (const known of suspects.values()) {
    if (tuples.length >= MAX_SUSPECTS_PER_DATAGRAM) break;
    if (known.sendsLeft === 0) continue;
    const { fingerprint, crashes, designated, servers = [] } = known.suspect;
    const texts = [fingerprint, designated ?? '', ...servers].join();
    bytes += SUSPECT_BYTES + texts.length;
    if (bytes > budget) break;
    const ageMs = Math.round(atMs - known.crashedAtMs);
    tuples.push([fingerprint, crashes, designated ?? null, ageMs, [...servers]]);
    next = next.set(fingerprint, { ...known, sendsLeft: known.sendsLeft - 1 });
  }
  if (tuples.length === 0) return { fleet, tuples };
  return { fleet: { ...fleet, sharing: { ...fleet.sharing, suspects: next } }, tuples };
}
