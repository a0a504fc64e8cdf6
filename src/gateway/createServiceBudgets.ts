/** The retry budgets of all services on this VM. */

import { allowsRetry, noteRetryBudget } from './retryBudget';
import type { RetryBudget, RetryBudgetLimits } from './retryBudget';

export interface ServiceBudgets {
  readonly noteRequest: (service: string) => void;
  /** Takes one retry; false where the budget is spent. */
  readonly takeRetry: (service: string) => boolean;
}

export interface ServiceBudgetOptions {
  readonly limits: RetryBudgetLimits;
  /** Monotonic clock, milliseconds. */
  readonly now: () => number;
  /** VMs that share the budgets. */
  readonly vms: () => number;
}

/** Creates full budgets. */
export function createServiceBudgets(options: ServiceBudgetOptions): ServiceBudgets {
  const { limits, now, vms } = options;
  const budgets = new Map<string, RetryBudget>();
  const note = (service: string, entry: 'requests' | 'retries'): void => {
    budgets.set(service, noteRetryBudget(budgets.get(service) ?? [], entry, now(), limits));
  };
  return {
    noteRequest: (service) => {
      note(service, 'requests');
    },
    takeRetry: (service) => {
      if (!allowsRetry(budgets.get(service) ?? [], vms(), limits)) return false;
      note(service, 'retries');
      return true;
    },
  };
}
