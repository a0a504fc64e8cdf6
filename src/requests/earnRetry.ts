/** Fills the retry budget for an admitted request. */

import { RETRY_BURST, RETRY_SHARE } from './constants';
import type { RetryBudget } from './retryBudget';

/** @returns the budget after one more request was admitted */
export function earnRetry(budget: RetryBudget): RetryBudget {
  return { credit: Math.min(RETRY_BURST, budget.credit + RETRY_SHARE) };
}
