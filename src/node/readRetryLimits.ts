/** Reads the limits of retries from the settings. */

import type { RetryBudgetLimits } from '../gateway/retryBudget';
import type { GatewaySettings } from './gatewaySettings';

const MS_PER_SECOND = 1_000;

export function readRetryLimits({ retries }: GatewaySettings): RetryBudgetLimits {
  const { ratio, extra, window_s: windowS } = retries;
  return { ratio, extra, windowMs: windowS * MS_PER_SECOND };
}
