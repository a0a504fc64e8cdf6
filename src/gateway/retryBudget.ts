/**
 * Bounds how much a service's backend servers get beyond the first try of each request. All VMs share
 * the bound, so each keeps to its part of it: a share of its own requests and an equal part of the
 * fixed allowance.
 */

export interface RetryBudgetLimits {
  /** Retries for each request. */
  readonly ratio: number;
  /** Retries beyond that in one window, over all VMs. */
  readonly extra: number;
  readonly windowMs: number;
}

/** What happened in a part of the window. */
interface Interval {
  readonly startMs: number;
  readonly requests: number;
  readonly retries: number;
}

export type RetryBudget = readonly Interval[];

/** Parts of a window; the bound holds for windows that start anywhere, to within one part. */
const INTERVALS = 20;

/** Part of the bound that is used; VMs do not share their requests evenly. */
const USED_SHARE = 0.8;

type Entry = 'requests' | 'retries';

/** Notes a request or a retry. */
export function noteRetryBudget(
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
 * @param budget what happened so far
 * @param nowMs monotonic, milliseconds
 * @param vms VMs that share the bound
 * @returns whether one more retry keeps to the bound
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
  const bound = limits.ratio * requests + limits.extra / Math.max(1, vms);
  return retries + 1 <= bound * USED_SHARE;
}

/** Drops what has left every window that ends now. */
function pruneBudget(
  budget: RetryBudget,
  nowMs: number,
  { windowMs }: RetryBudgetLimits,
): RetryBudget {
  return budget.filter(({ startMs }) => nowMs - startMs < windowMs * (1 + 1 / INTERVALS));
}
