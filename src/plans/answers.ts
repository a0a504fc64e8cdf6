/** Answers to operators. */

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

/** Answers an ask. */
export function answer(call: CallId, status: number, body: unknown): Answer {
  return { type: 'answer', call, status, body };
}

/** Answers that an ask was turned down; `not-run` says that nothing was changed. */
export function refuse(
  call: CallId,
  status: number,
  reason: string,
  detail: string,
  more: Readonly<Record<string, unknown>> = {},
): Answer {
  const outcome = status === STATUS.unknown ? 'unknown' : 'not-run';
  return answer(call, status, { outcome, reason, detail, ...more });
}

/** Answers that the table could not be reached, or did not say whether it wrote. */
export function refuseWrite(call: CallId, result: LedgerResult): Answer {
  if (result.type === 'unknown') {
    const detail = `${result.detail}; ask again with show-plan`;
    return refuse(call, STATUS.unknown, 'store-silent', detail);
  }
  const detail = result.type === 'unavailable' ? result.detail : result.type;
  return refuse(call, STATUS.unavailable, 'store-unavailable', detail);
}
