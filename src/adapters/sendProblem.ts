/** Sends a problem document. */

import type { ServerResponse } from 'node:http';
import { MS_PER_SECOND } from '../units';
import { PROBLEM_TYPE_PREFIX } from './problem';
import type { Problem } from './problem';

/** Whether a client library may retry the request automatically. */
function mayRetry({ outcome, status }: Problem): boolean {
  return outcome === 'not-run' && (status === 429 || status === 503);
}

/**
 * Returns the body of a problem document. `error` repeats it in the format that completion clients expect.
 *
 * @param problem the content of the document
 */
export function createProblemBody(problem: Problem): Readonly<Record<string, unknown>> {
  const { status, outcome, reason, detail, retryAfterMs } = problem;
  return {
    type: `${PROBLEM_TYPE_PREFIX}${reason}`,
    title: reason.replaceAll('-', ' '),
    status,
    detail,
    outcome,
    ...(retryAfterMs === undefined ? {} : { retryAfterMs }),
    error: { message: detail, type: outcome, code: reason, param: null },
  };
}

/**
 * Sends a problem document, with a Retry-After header in whole seconds if the problem has a retry delay.
 *
 * @param response an HTTP response that has not started; otherwise nothing is sent
 * @param problem the content of the document
 * @param more object with further members of the document
 */
export function sendProblem(response: ServerResponse, problem: Problem, more: unknown = {}): void {
  if (response.headersSent || response.destroyed) return;
  const { status, retryAfterMs } = problem;
  response.writeHead(status, {
    'content-type': 'application/problem+json',
    'cache-control': 'no-store',
    'x-should-retry': String(mayRetry(problem)),
    ...(retryAfterMs === undefined
      ? {}
      : { 'retry-after': String(Math.max(1, Math.ceil(retryAfterMs / MS_PER_SECOND))) }),
    ...(status === 401 ? { 'www-authenticate': 'Bearer' } : {}),
  });
  response.end(JSON.stringify({ ...Object(more), ...createProblemBody(problem) }));
}
