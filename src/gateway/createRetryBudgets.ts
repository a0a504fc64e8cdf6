/** Keeps the retry budgets of all services on this VM. */

import { allowsRetry, recordInRetryBudget } from './retryBudget';
import type { RetryBudget, RetryBudgetLimits } from './retryBudget';

export interface RetryBudgets {
  readonly recordRequest: (service: string) => void;
  /** Spends one retry; false if the budget is exhausted. */
  readonly trySpendRetry: (service: string) => boolean;
}

export interface RetryBudgetsOptions {
  /** Current limits; settings may change while requests run. */
  readonly limits: () => RetryBudgetLimits;
  /** Monotonic clock, milliseconds. */
  readonly now: () => number;
  /** VMs that share the budgets. */
  readonly vms: () => number;
}

/** Share of the fixed allowance that counts as spent at the start; the rest fits beside a full window. */
const SPENT_AT_START = 0.65;

/**
 * Creates the budgets. Most of the fixed allowance counts as spent at the start, since the previous
 * incarnation may have spent it within the same window, and many VMs start together after an outage.
 */
export function createRetryBudgets(options: RetryBudgetsOptions): RetryBudgets {
  const { limits, now, vms } = options;
  const budgets = new Map<string, RetryBudget>();
  const startedMs = now();
  const budgetOf = (service: string): RetryBudget => {
    const spent = (limits().extra * SPENT_AT_START) / Math.max(1, vms());
    return budgets.get(service) ?? [{ startMs: startedMs, requests: 0, retries: spent }];
  };
  const record = (service: string, entry: 'requests' | 'retries'): void => {
    budgets.set(service, recordInRetryBudget(budgetOf(service), entry, now(), limits()));
  };
  return {
    recordRequest: (service) => {
      record(service, 'requests');
    },
    trySpendRetry: (service) => {
      if (!allowsRetry(budgetOf(service), now(), vms(), limits())) return false;
      record(service, 'retries');
      return true;
    },
  };
}
