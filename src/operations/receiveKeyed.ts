/**
 * Receives a call under a key that the caller chose, without a ticket. Only the table shows whether
 * another VM has run it, so the row of the key is claimed before anything is dispatched.
 */

import type { Occurrence } from '../decisions/primitive';
import type { Refusal } from '../outcomes/outcome';
import { claimOperation } from './claimOperation';
import { countRunning } from './countRunning';
import { fingerprintCall } from './fingerprintCall';
import type { FoundMethod } from './findMethod';
import { joinOperation } from './joinOperation';
import { formatOperationKey } from './formatOperationKey';
import type { PlainCall } from './operationMessage';
import { MAX_WAITERS, RETRY_AFTER_MS } from './operationLimits';
import type { Claim, OperationsState } from './operationsState';
import { refuseCall } from './refuseCall';
import { resolveOutcome } from './resolveOutcome';
import { step, type OperationsStep } from './step';

/** Answers from memory, joins a pending claim, or claims the key. */
export function receiveKeyed(
  state: OperationsState,
  call: PlainCall,
  found: FoundMethod,
  at: Occurrence,
): OperationsStep {
  const key = formatOperationKey(call.workspace, call.operation ?? '');
  const joined = joinOperation(state, key, call);
  if (joined !== undefined) return joined;
  if (call.asksOutcome === true) return resolveOutcome(state, call, 'not-recorded');
  const claim = state.claims.get(key);
  if (claim !== undefined) return joinClaim(state, claim, call);
  if (state.releases.has(key)) return refuseCall(state, call.call, beingReleased);
  if (found.type === 'missing') return refuseCall(state, call.call, found.refusal);
  if (Buffer.byteLength(call.body) > found.contract.maxBodyBytes) {
    const detail = `The body is larger than ${found.contract.maxBodyBytes} bytes`;
    return refuseCall(state, call.call, { outcome: 'failed', reason: 'body-too-large', detail });
  }
  if (countRunning(state) >= state.options.maxRunning) {
    return refuseCall(state, call.call, overloaded);
  }
  return claimOperation(state, key, call, at);
}

const beingReleased: Refusal = {
  outcome: 'not-run',
  reason: 'key-being-released',
  detail: 'An earlier call under the key did not run, and its claim is being released',
  retryAfterMs: RETRY_AFTER_MS,
};

const overloaded: Refusal = {
  outcome: 'not-run',
  reason: 'overloaded',
  detail: 'This VM runs as many calls as it may',
  retryAfterMs: RETRY_AFTER_MS,
};

function joinClaim(state: OperationsState, claim: Claim, call: PlainCall): OperationsStep {
  if (fingerprintCall(claim.call) !== fingerprintCall(call)) {
    const detail = 'The key belongs to a call with another service, method, path or body';
    return refuseCall(state, call.call, {
      outcome: 'failed',
      reason: 'operation-id-reused',
      detail,
    });
  }
  if (claim.waiters.length >= MAX_WAITERS) {
    const detail = 'The operation is being claimed, and too many calls wait for it';
    return refuseCall(state, call.call, { outcome: 'unknown', reason: 'still-running', detail });
  }
  const joined = { ...claim, waiters: [...claim.waiters, call.call] };
  return step({ ...state, claims: state.claims.set(claim.key, joined) });
}
