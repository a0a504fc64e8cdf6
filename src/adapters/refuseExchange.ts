/** Refuses an exchange before its request reaches the node. */

import type { Exchange } from './exchange';
import { sendProblem } from './sendProblem';
import { toProblem } from './toProblem';

/**
 * Sends a problem document with the outcome `not-run` and counts the refusal.
 *
 * @param exchange an exchange without a response yet
 * @param reason last segment of the problem type
 * @param detail explanation for the caller
 * @param retryAfterMs delay before a retry, if a retry can succeed
 */
export function refuseExchange(
  { response, host }: Exchange,
  reason: string,
  detail: string,
  retryAfterMs?: number,
): void {
  host.count('http_refusals', { reason });
  const retry = retryAfterMs === undefined ? {} : { retryAfterMs };
  sendProblem(response, toProblem({ outcome: 'not-run', reason, detail, ...retry }));
}
