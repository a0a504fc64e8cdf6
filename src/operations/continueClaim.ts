/** Continues the claim of a key according to the row that the table holds for it. */

import type { Row } from '../contracts/table';
import type { Occurrence } from '../decisions/primitive';
import { chain } from './chain';
import { fingerprintCall } from './fingerprintCall';
import { MAX_CLAIM_TRIES } from './operationLimits';
import type { CallResult } from './operationMessage';
import type { Claim, OperationsState } from './operationsState';
import { parseRow } from './parseRow';
import { claimRowSchema, type ClaimRow } from './recordedResult';
import { refuseCall } from './refuseCall';
import { refuseClaim } from './refuseClaim';
import { resolveOutcome } from './resolveOutcome';
import { sendClaim } from './sendClaim';
import { step, type OperationsStep } from './step';
import { getRefusalReason } from './getRefusalReason';
import { dispatchClaimed } from './dispatchClaimed';

/**
 * Dispatches if the row belongs to this claim, and tries again if the key is free. Otherwise it answers
 * with the recorded result or forwards the calls to the other claimer.
 */
export function continueClaim(
  state: OperationsState,
  claim: Claim,
  row: Row | undefined,
  at: Occurrence,
): OperationsStep {
  if (row === undefined || row.version === 0) return retryClaim(state, claim, 0);
  const value = parseRow(row, claimRowSchema);
  if (value === undefined) return endClaim(state, claim, searchOutcome(claim, 'row-unreadable'));
  if (value.state === 'released') return retryClaim(state, claim, row.version);
  if (value.token === claim.token) return dispatchClaimed(state, claim, row.version, at);
  if (value.fingerprint !== fingerprintCall(claim.call)) {
    return endClaim(state, claim, (next, waiter) => refuseCall(next, waiter, reused));
  }
  if (value.state === 'done') return endClaim(state, claim, answerWith(value.result));
  return forwardToClaimer(state, claim, value);
}

const reused = {
  outcome: 'failed',
  reason: 'operation-id-reused',
  detail: 'The key belongs to a call with another service, method, path or body',
} as const;

/** A missing row may still appear if the reply to an insert was lost; the next insert detects it. */
function retryClaim(state: OperationsState, claim: Claim, expectedVersion: number): OperationsStep {
  const reason = getRefusalReason(state);
  if (reason !== undefined) return refuseClaim(state, claim, reason);
  if (claim.tries >= MAX_CLAIM_TRIES) return refuseClaim(state, claim, 'store-unavailable');
  return sendClaim(state, claim, expectedVersion);
}

type AnswerWaiter = (state: OperationsState, waiter: string) => OperationsStep;

function endClaim(state: OperationsState, claim: Claim, answer: AnswerWaiter): OperationsStep {
  const next = { ...state, claims: state.claims.delete(claim.key) };
  return chain(
    next,
    ...claim.waiters.map((waiter) => (after: OperationsState) => answer(after, waiter)),
  );
}

function searchOutcome(claim: Claim, reason: string): AnswerWaiter {
  return (state, waiter) => resolveOutcome(state, { ...claim.call, call: waiter }, reason);
}

function answerWith(result: CallResult): AnswerWaiter {
  const counted = { type: 'count', counter: 'operation_repeats', by: 1 } as const;
  return (state, call) => step(state, { type: 'answer', call, result }, counted);
}

function forwardToClaimer(
  state: OperationsState,
  claim: Claim,
  row: Extract<ClaimRow, { readonly state: 'claimed' }>,
): OperationsStep {
  const claimer = state.vms.find(
    ({ id, incarnation }) => id === row.vm && incarnation === row.incarnation,
  );
  const isSelf = row.vm === state.options.vm;
  if (claimer === undefined || isSelf || claim.call.forwardedBy !== undefined) {
    return endClaim(state, claim, searchOutcome(claim, 'claimer-gone'));
  }
  return endClaim(state, claim, (next, waiter) => {
    const call = { ...claim.call, call: waiter };
    const forwards = next.forwards.set(waiter, call);
    return step({ ...next, forwards }, { type: 'forward', vm: claimer, call });
  });
}
