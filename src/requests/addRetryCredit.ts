/** Adds the retry credit of one admitted request to the retry budget. */

import { MAX_RETRY_CREDIT, RETRY_CREDIT_PER_REQUEST } from './constants';
import type { RetryBudget } from './retryBudget';

/** @returns the budget with `RETRY_CREDIT_PER_REQUEST` added, limited to `MAX_RETRY_CREDIT` */
export function addRetryCredit(budget: RetryBudget): RetryBudget {
  return { credit: Math.min(MAX_RETRY_CREDIT, budget.credit + RETRY_CREDIT_PER_REQUEST) };
}
