/** Refills the allowance of requests that a VM may send to a limited backend server. */

export interface RequestAllowance {
  /** Requests that may be sent; below zero after requests that could not wait. */
  readonly requests: number;
  /** Requests a second by which it grows. */
  readonly perSecond: number;
  /** Time up to which it has grown, monotonic, milliseconds. */
  readonly atMs: number;
}

/** Requests that may be saved up; more would come at once after a pause. */
const MAX_REQUESTS = 1;

const MS_PER_SECOND = 1_000;

/**
 * @param allowance the allowance at an earlier time
 * @param perSecond its growth from now on; where that has changed, the lower one counts for the past
 * @param nowMs monotonic, milliseconds
 */
export function refillAllowance(
  allowance: RequestAllowance,
  perSecond: number,
  nowMs: number,
): RequestAllowance {
  const elapsedS = Math.max(0, nowMs - allowance.atMs) / MS_PER_SECOND;
  const grown = allowance.requests + Math.min(allowance.perSecond, perSecond) * elapsedS;
  return { requests: Math.min(MAX_REQUESTS, grown), perSecond, atMs: nowMs };
}
