/**
 * Refuses an operation that was never dispatched. Under a ticket the refusal is final for its
 * number: a copy of the call that comes later, by another VM say, gets the same answer, so `not-run`
 * stays true. A caller's own key is released instead, for another try.
 */

import type { Occurrence } from '../decisions/primitive';
import type { Refusal } from '../outcomes/outcome';
import type { NewOperation } from './beginOperation';
import { chain } from './chain';
import { fingerprintCall } from './fingerprintCall';
import { holdTicket } from './holdTicket';
import type { OperationsState } from './operationsState';
import { refuseCall } from './refuseCall';
import { releaseClaim } from './releaseClaim';
import { rememberResult } from './rememberResult';
import { step, type OperationsStep } from './step';

/** Answers all waiters, and shuts the number or releases the key. */
export function refuseOperation(
  state: OperationsState,
  operation: Pick<NewOperation, 'key' | 'origin' | 'call' | 'waiters'>,
  refusal: Refusal,
  at: Occurrence,
): OperationsStep {
  const { key, origin, call, waiters } = operation;
  const answers = waiters.map(
    (waiter) => (next: OperationsState) => refuseCall(next, waiter, refusal),
  );
  if (origin.type === 'anonymous') return chain(state, ...answers);
  if (origin.type === 'claim') {
    return chain(state, ...answers, (next) =>
      releaseClaim(next, key, origin.token, fingerprintCall(call), origin.version),
    );
  }
  const shut = {
    key,
    origin,
    fingerprint: fingerprintCall(call),
    result: { type: 'refused', refusal } as const,
    finishedAtMs: at.atMs,
    isShut: true,
  };
  return chain(
    state,
    (next) => step(holdTicket(next, origin.serial)),
    (next) => rememberResult(next, shut),
    ...answers,
  );
}
