/** Sends a problem document. */

import type { ServerResponse } from 'node:http';
import { MS_PER_SECOND } from '../units';
import { PROBLEM_TYPE_PREFIX } from './problem';
import type { Problem } from './problem';

/** Whether a client library may send the request again by itself. */
function mayRetry({ outcome, status }: Problem): boolean {
  return outcome === 'not-run' && (status === 429 || status === 503);
}

/**
 * Gives the body of a problem document. `error` repeats it in the form that completion clients read.
 *
 * @param problem what went wrong
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
 * Answers with a problem document, and with Retry-After in whole seconds where that helps.
 *
 * @param response nothing has been sent on it yet
 * @param problem what went wrong
 * @param more further members of the document, where it is an object
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
