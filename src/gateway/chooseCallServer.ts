/**
 * Chooses the backend server for a call by its load per slot and by the failures and latency of its
 * recent calls. A server that failed many recent calls is chosen only if no better one is left, which
 * limits the number of requests lost to servers that fail without being suspected.
 */

export interface CallCandidate {
  readonly id: string;
  readonly failureDomain: string;
  readonly slots: number;
  /** Calls in progress on it, from all VMs. */
  readonly running: number;
  /** Share of its recent calls that failed, 0 to 1. */
  readonly failureShare: number;
  /** Mean duration of its recent calls, milliseconds. */
  readonly meanMs: number;
}

/** Score of a server that fails all calls; a server with all slots in use scores 1. */
const FAILURE_WEIGHT = 8;

/** Score of a server whose mean call takes as long as the target. */
const LATENCY_WEIGHT = 1;

/** Score of a server in another failure domain; small, so it decides only between similar loads. */
const REMOTE_WEIGHT = 0.1;

/**
 * @param candidates the servers that may be used
 * @param fromDomain failure domain of this VM
 * @param targetMs latency target of the call, milliseconds
 * @param tieBreak uniform in [0, 1)
 * @returns undefined if no candidate has a free slot
 */
export function chooseCallServer(
  candidates: readonly CallCandidate[],
  fromDomain: string,
  targetMs: number,
  tieBreak: number,
): CallCandidate | undefined {
  const free = candidates.filter(({ running, slots }) => running < slots);
  if (free.length === 0) return undefined;
  const offset = Math.floor(tieBreak * free.length);
  const rotated = [...free.slice(offset), ...free.slice(0, offset)];
  const score = (candidate: CallCandidate): number =>
    candidate.running / candidate.slots +
    candidate.failureShare * FAILURE_WEIGHT +
    (candidate.meanMs / targetMs) * LATENCY_WEIGHT +
    (candidate.failureDomain === fromDomain ? 0 : REMOTE_WEIGHT);
  return rotated.reduce((best, candidate) => (score(candidate) < score(best) ? candidate : best));
}
