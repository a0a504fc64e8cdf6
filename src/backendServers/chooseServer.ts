/**
 * Chooses a backend server of a plain service by the power of two choices (Mitzenmacher, 2001): two
 * drawn at random, the one with less of this VM's work for its weight wins. Own counts don't lag, so
 * VMs that share a late report don't all run to the same server.
 */

import type { Random } from '../random/createRandom';
import type { BackendServerId } from './backendServer';

/** A backend server that may get new work. */
export interface Candidate {
  readonly server: BackendServerId;
  /** Share of its usual load that it may get, above 0 and up to 1. */
  readonly weight: number;
  /** Calls of this VM that run on it. */
  readonly inFlight: number;
}

/**
 * Chooses one candidate.
 *
 * @returns undefined where there is none
 */
export function chooseServer(
  candidates: readonly Candidate[],
  random: Random,
): BackendServerId | undefined {
  if (candidates.length === 0) return undefined;
  const first = random.pick(candidates);
  const second = random.pick(candidates);
  return cost(first) <= cost(second) ? first.server : second.server;
}

function cost(candidate: Candidate): number {
  return (candidate.inFlight + 1) / candidate.weight;
}
