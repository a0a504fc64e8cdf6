/** What the row of a key tells a VM that wants to claim it. */

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
import { whyClosed } from './whyClosed';
import { winClaim } from './winClaim';

/** Dispatches where the row is this claim's own, claims a free key, or follows the other claimer. */
export function takeClaimRow(
  state: OperationsState,
  claim: Claim,
  row: Row | undefined,
  at: Occurrence,
): OperationsStep {
  if (row === undefined || row.version === 0) return claimAgain(state, claim, 0);
  const value = parseRow(row, claimRowSchema);
  if (value === undefined) return endClaim(state, claim, resolve(claim, 'row-unreadable'));
  if (value.state === 'released') return claimAgain(state, claim, row.version);
  if (value.token === claim.token) return winClaim(state, claim, row.version, at);
  if (value.fingerprint !== fingerprintCall(claim.call)) {
    return endClaim(state, claim, (next, waiter) => refuseCall(next, waiter, reused));
  }
  if (value.state === 'done') return endClaim(state, claim, answerWith(value.result));
  return followClaimer(state, claim, value);
}

const reused = {
  outcome: 'failed',
  reason: 'operation-id-reused',
  detail: 'The key belongs to a call with another service, method, path or body',
} as const;

/** A missing row may still appear where an insert's reply was lost; the next insert settles it. */
function claimAgain(state: OperationsState, claim: Claim, expects: number): OperationsStep {
  const reason = whyClosed(state);
  if (reason !== undefined) return refuseClaim(state, claim, reason);
  if (claim.tries >= MAX_CLAIM_TRIES) return refuseClaim(state, claim, 'store-unavailable');
  return sendClaim(state, claim, expects);
}

type EndWaiter = (state: OperationsState, waiter: string) => OperationsStep;

function endClaim(state: OperationsState, claim: Claim, end: EndWaiter): OperationsStep {
  const next = { ...state, claims: state.claims.delete(claim.key) };
  return chain(
    next,
    ...claim.waiters.map((waiter) => (after: OperationsState) => end(after, waiter)),
  );
}

function resolve(claim: Claim, reason: string): EndWaiter {
  return (state, waiter) => resolveOutcome(state, { ...claim.call, call: waiter }, reason);
}

function answerWith(result: CallResult): EndWaiter {
  const counted = { type: 'count', counter: 'operation_repeats', by: 1 } as const;
  return (state, call) => step(state, { type: 'answer', call, result }, counted);
}

function followClaimer(
  state: OperationsState,
  claim: Claim,
  row: Extract<ClaimRow, { readonly state: 'claimed' }>,
): OperationsStep {
  const claimer = state.vms.find(
    ({ id, incarnation }) => id === row.vm && incarnation === row.incarnation,
  );
  const isSelf = row.vm === state.options.vm;
  if (claimer === undefined || isSelf || claim.call.forwardedBy !== undefined) {
    return endClaim(state, claim, resolve(claim, 'claimer-gone'));
  }
  return endClaim(state, claim, (next, waiter) => {
    const call = { ...claim.call, call: waiter };
    const forwards = next.forwards.set(waiter, call);
    return step({ ...next, forwards }, { type: 'forward', vm: claimer, call });
  });
}
