/** Dispatches the operation of a key that this VM has claimed. */

import type { Occurrence } from '../decisions/primitive';
import { beginOperation } from './beginOperation';
import { findMethod } from './findMethod';
import type { Claim, OperationsState } from './operationsState';
import { refuseOperation } from './refuseOperation';
import type { OperationsStep } from './step';

/** The claim's row has this version; nobody else will dispatch the key. */
export function winClaim(
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
  return beginOperation(next, { ...operation, ...found }, at);
}
