/** Adds the retry credit of an admitted request to the retry budget. */

import { MAX_RETRY_CREDIT, RETRY_CREDIT_PER_REQUEST } from './constants';
import type { RetryBudget } from './retryBudget';

/** @returns the budget after the admission of one more request */
export function addRetryCredit(budget: RetryBudget): RetryBudget {
  return { credit: Math.min(MAX_RETRY_CREDIT, budget.credit + RETRY_CREDIT_PER_REQUEST) };
}
