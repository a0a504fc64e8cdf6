/**
 * Chooses the backend server for a call: the one with the least work for its slots, after what its
 * recent calls say. A server that failed many of its last calls is chosen only where no better one is
 * left, so a part of the servers that fail quietly costs few requests.
 */

export interface CallCandidate {
  readonly id: string;
  readonly failureDomain: string;
  readonly slots: number;
  /** Calls on it now, over all VMs. */
  readonly running: number;
  /** Part of its recent calls that failed, 0 to 1. */
  readonly failureShare: number;
  /** Mean time of its recent calls, milliseconds. */
  readonly meanMs: number;
}

/** Score of a server that fails all calls, against one with all slots taken. */
const FAILURE_WEIGHT = 8;

/** Score of a mean time as long as the target. */
const LATENCY_WEIGHT = 1;

/** Score of another failure domain: worth a small difference in load only. */
const REMOTE_WEIGHT = 0.1;

/**
 * @param candidates the servers that may be used
 * @param fromDomain failure domain of this VM
 * @param targetMs target time of the call, milliseconds
 * @param tieBreak uniform in [0, 1)
 * @returns undefined where there is no candidate with a free slot
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
