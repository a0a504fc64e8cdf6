/** Dispatches the operation whose key this VM has claimed. */

import type { Occurrence } from '../decisions/primitive';
import { dispatchOperation } from './dispatchOperation';
import { findMethod } from './findMethod';
import type { Claim, OperationsState } from './operationsState';
import { refuseOperation } from './refuseOperation';
import type { OperationsStep } from './step';

/**
 * Ends the claim and dispatches the operation; no other VM dispatches under the key.
 *
 * @param version version of the claim row
 */
export function dispatchClaimed(
  state: OperationsState,
  claim: Claim,
  version: number,
  at: Occurrence,
): OperationsStep {
  const { key, token, call, waiters } = claim;
  const next = { ...state, claims: state.claims.delete(key) };
  const operation = { key, origin: { type: 'claim', token, version }, call, waiters } as const;
  const found = findMethod(state.configuration, call);
  if (found.type === 'missing') return refuseOperation(next, operation, found.refusal, at);
  return dispatchOperation(next, { ...operation, ...found }, at);
}
