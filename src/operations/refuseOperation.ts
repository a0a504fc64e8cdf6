/**
 * Refuses an operation that was never dispatched. Under a ticket the refusal is final for its sequence
 * number: a copy of the call that arrives later, for example through another VM, gets the same answer,
 * which keeps `not-run` true. A key that the caller chose is released instead and may be tried again.
 */

import type { Occurrence } from '../decisions/primitive';
import type { Refusal } from '../outcomes/outcome';
import type { NewOperation } from './dispatchOperation';
import { chain } from './chain';
import { fingerprintCall } from './fingerprintCall';
import { addTicketOperation } from './addTicketOperation';
import type { OperationsState } from './operationsState';
import { refuseCall } from './refuseCall';
import { releaseClaim } from './releaseClaim';
import { retainResult } from './retainResult';
import { step, type OperationsStep } from './step';

/** Answers all waiters, then retains a tombstone for the number or releases the key. */
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
  const tombstone = {
    key,
    origin,
    fingerprint: fingerprintCall(call),
    result: { type: 'refused', refusal } as const,
    finishedAtMs: at.atMs,
    isTombstone: true,
  };
  return chain(
    state,
    (next) => step(addTicketOperation(next, origin.serial)),
    (next) => retainResult(next, tombstone),
    ...answers,
  );
}
