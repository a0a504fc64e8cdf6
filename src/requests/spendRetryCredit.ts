/** Charges repeated work to the retry budget. */

import type { RetryBudget } from './retryBudget';

/**
 * @param budget the retry budget
 * @param cost fraction of the request's work that is repeated, 0 to 1
 * @returns the reduced budget, or undefined if its credit does not cover the cost
 */
export function spendRetryCredit(budget: RetryBudget, cost: number): RetryBudget | undefined {
  if (budget.credit < cost) return undefined;
  return { credit: budget.credit - cost };
}
