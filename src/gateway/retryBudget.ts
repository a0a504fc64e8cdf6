/**
 * Limits the retries that a service's backend servers receive. The limit holds over all VMs, so each VM
 * allows itself a ratio of its own requests and an equal part of the fixed allowance.
 */

export interface RetryBudgetLimits {
  /** Retries per request. */
  readonly ratio: number;
  /** Fixed allowance of further retries in one window, over all VMs. */
  readonly extra: number;
  readonly windowMs: number;
}

/** Requests and retries in one interval of the window. */
interface Interval {
  readonly startMs: number;
  readonly requests: number;
  readonly retries: number;
}

export type RetryBudget = readonly Interval[];

/** Intervals per window; the limit holds for windows with any start, to within one interval. */
const INTERVALS = 20;

/** Share of the limit that is used, because requests are not spread evenly over the VMs. */
const USED_SHARE = 0.8;

type Entry = 'requests' | 'retries';

/** Counts a request or a retry. */
export function recordInRetryBudget(
  budget: RetryBudget,
  entry: Entry,
  nowMs: number,
  limits: RetryBudgetLimits,
): RetryBudget {
  const { windowMs } = limits;
  const last = budget.at(-1);
  const isOpen = last !== undefined && nowMs - last.startMs < windowMs / INTERVALS;
  const current = isOpen ? last : { startMs: nowMs, requests: 0, retries: 0 };
  const earlier = isOpen ? budget.slice(0, -1) : budget;
  return [...pruneBudget(earlier, nowMs, limits), { ...current, [entry]: current[entry] + 1 }];
}

/**
 * @param budget recent requests and retries
 * @param nowMs monotonic, milliseconds
 * @param vms number of VMs that share the limit
 * @returns whether one more retry stays within the limit
 */
export function allowsRetry(
  budget: RetryBudget,
  nowMs: number,
  vms: number,
  limits: RetryBudgetLimits,
): boolean {
  const recent = pruneBudget(budget, nowMs, limits);
  const requests = recent.reduce((sum, interval) => sum + interval.requests, 0);
  const retries = recent.reduce((sum, interval) => sum + interval.retries, 0);
  const limit = limits.ratio * requests + limits.extra / Math.max(1, vms);
  return retries + 1 <= limit * USED_SHARE;
}

/** Drops intervals that are older than the window and one interval. */
function pruneBudget(
  budget: RetryBudget,
  nowMs: number,
  { windowMs }: RetryBudgetLimits,
): RetryBudget {
  return budget.filter(({ startMs }) => nowMs - startMs < windowMs * (1 + 1 / INTERVALS));
}
