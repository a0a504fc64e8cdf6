/** Refuses an exchange before anything of it has reached the node. */

import type { Exchange } from './exchange';
import { sendProblem } from './sendProblem';
import { toProblem } from './toProblem';

/**
 * Answers `not-run` with this reason, and counts it.
 *
 * @param exchange nothing has been sent on it yet
 * @param reason last part of the problem type
 * @param detail in words, for the caller
 * @param retryAfterMs when to come back, where it helps
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
