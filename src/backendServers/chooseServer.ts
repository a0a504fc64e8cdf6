/**
 * Chooses a backend server of a plain service by the power of two choices (Mitzenmacher, 2001): draws two
 * at random and uses the one with fewer of this VM's calls for its weight. This VM's own counts are always
 * current; with a shared, outdated report all VMs would choose the same server.
 */

import type { Random } from '../random/createRandom';
import type { BackendServerId } from './backendServer';

/** A backend server that may receive new work. */
export interface Candidate {
  readonly server: BackendServerId;
  /** Fraction of its usual load that it may receive, above 0 and up to 1. */
  readonly weight: number;
  /** Number of this VM's calls in progress on it. */
  readonly inFlight: number;
}

/** @returns the chosen server, or undefined if there are no candidates */
export function chooseServer(
  candidates: readonly Candidate[],
  random: Random,
): BackendServerId | undefined {
  if (candidates.length === 0) return undefined;
  const first = random.pick(candidates);
  const second = random.pick(candidates);
  return computeCost(first) <= computeCost(second) ? first.server : second.server;
}

function computeCost(candidate: Candidate): number {
  return (candidate.inFlight + 1) / candidate.weight;
}
