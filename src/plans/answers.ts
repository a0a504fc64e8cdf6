/** Builds the HTTP answers to operators' requests. */

import type { CallId } from '../decisions/primitive';
import type { LedgerResult } from './ledgerWrite';
import type { PlanEffect } from './planMessage';

/** HTTP statuses of the answers. */
export const STATUS = {
  ok: 200,
  forbidden: 403,
  notFound: 404,
  conflict: 409,
  impossible: 422,
  unavailable: 503,
  unknown: 504,
} as const;

type Answer = Extract<PlanEffect, { readonly type: 'answer' }>;

/** Answers an operator's request. */
export function createAnswer(call: CallId, status: number, body: unknown): Answer {
  return { type: 'answer', call, status, body };
}

/**
 * Refuses a request. The outcome is `not-run`, meaning that nothing changed, unless the status is
 * `unknown`.
 */
export function createRefusal(
  call: CallId,
  status: number,
  reason: string,
  detail: string,
  more: Readonly<Record<string, unknown>> = {},
): Answer {
  const outcome = status === STATUS.unknown ? 'unknown' : 'not-run';
  return createAnswer(call, status, { outcome, reason, detail, ...more });
}

/** Refuses a request whose write failed or has no known result. */
export function createWriteRefusal(call: CallId, result: LedgerResult): Answer {
  if (result.type === 'unknown') {
    const detail = `${result.detail}; ask again with show-plan`;
    return createRefusal(call, STATUS.unknown, 'store-silent', detail);
  }
  const detail = result.type === 'unavailable' ? result.detail : result.type;
  return createRefusal(call, STATUS.unavailable, 'store-unavailable', detail);
}
