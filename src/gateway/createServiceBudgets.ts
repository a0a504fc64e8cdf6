/** The retry budgets of all services on this VM. */

import { allowsRetry, noteRetryBudget } from './retryBudget';
import type { RetryBudget, RetryBudgetLimits } from './retryBudget';

export interface ServiceBudgets {
  readonly noteRequest: (service: string) => void;
  /** Takes one retry; false where the budget is spent. */
  readonly takeRetry: (service: string) => boolean;
}

export interface ServiceBudgetOptions {
  /** In force now; settings may change while requests run. */
  readonly limits: () => RetryBudgetLimits;
  /** Monotonic clock, milliseconds. */
  readonly now: () => number;
  /** VMs that share the budgets. */
  readonly vms: () => number;
}

/** Part of the allowance that counts as spent at the start; the rest fits beside a full window. */
const SPENT_AT_START = 0.65;

/**
 * Creates the budgets. Most of the allowance beyond a share of the requests counts as spent at the
 * start: the life before may have spent it within the same window, and many VMs start together after an
 * outage.
 */
export function createServiceBudgets(options: ServiceBudgetOptions): ServiceBudgets {
  const { limits, now, vms } = options;
  const budgets = new Map<string, RetryBudget>();
  const startedMs = now();
  const budgetOf = (service: string): RetryBudget => {
    const spent = (limits().extra * SPENT_AT_START) / Math.max(1, vms());
    return budgets.get(service) ?? [{ startMs: startedMs, requests: 0, retries: spent }];
  };
  const note = (service: string, entry: 'requests' | 'retries'): void => {
    budgets.set(service, noteRetryBudget(budgetOf(service), entry, now(), limits()));
  };
  return {
    noteRequest: (service) => {
      note(service, 'requests');
    },
    takeRetry: (service) => {
      if (!allowsRetry(budgetOf(service), now(), vms(), limits())) return false;
      note(service, 'retries');
      return true;
    },
  };
}
