/** Takes work that is done again from the retry budget. */

import type { RetryBudget } from './retryBudget';

/**
 * @param budget the budget
 * @param cost part of the request's work that is done again, 0 to 1
 * @returns the budget without that, or undefined where it is spent
 */
export function spendRetry(budget: RetryBudget, cost: number): RetryBudget | undefined {
  if (budget.credit < cost) return undefined;
  return { credit: budget.credit - cost };
}
