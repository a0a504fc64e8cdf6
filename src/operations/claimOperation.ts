/** Starts the claim of a key that a caller chose. */

import type { Occurrence } from '../decisions/primitive';
import { callTable } from './callTable';
import type { PlainCall } from './operationMessage';
import { CLAIM_TABLE } from './operationLimits';
import type { OperationKey, OperationsState } from './operationsState';
import { sendClaim } from './sendClaim';
import type { OperationsStep } from './step';
import { getRefusalReason } from './getRefusalReason';

/**
 * Inserts the row of the key if there is none. A VM that accepts no new work only reads the row, which
 * still lets it answer a repeat of an operation that ran elsewhere.
 */
export function claimOperation(
  state: OperationsState,
  key: OperationKey,
  call: PlainCall,
  at: Occurrence,
): OperationsStep {
  const { vm, incarnation } = state.options;
  const claim = {
    key,
    token: `${vm}/${incarnation}/${state.nextCall}/${at.seed}`,
    call,
    waiters: [call.call],
    tries: 0,
    isAmbiguous: false,
  };
  if (getRefusalReason(state) === undefined) return sendClaim(state, claim, 0);
  const next = { ...state, claims: state.claims.set(key, claim) };
  const request = { type: 'read-rows', table: CLAIM_TABLE, keys: [key] } as const;
  return callTable(next, { type: 'claim-read', key }, request);
}
