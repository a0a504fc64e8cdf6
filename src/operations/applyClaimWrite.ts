/** Applies the table's reply to the conditional write that claims the key of an operation. */

import type { TransactionResult } from '../contracts/table';
import type { Occurrence } from '../decisions/primitive';
import { callTable } from './callTable';
import { CLAIM_TABLE } from './operationLimits';
import type { OperationKey, OperationsState } from './operationsState';
import { refuseClaim } from './refuseClaim';
import { step, type OperationsStep } from './step';
import { continueClaim } from './continueClaim';
import { dispatchClaimed } from './dispatchClaimed';

/**
 * Dispatches the operation if the write committed, and refuses it with outcome `not-run` if the table is
 * unavailable. After a conflict, it continues according to the existing row. If the reply was lost, it
 * reads the row to find out whether the write took effect. It does nothing if the claim has ended.
 */
export function applyClaimWrite(
  state: OperationsState,
  key: OperationKey,
  result: TransactionResult,
  at: Occurrence,
): OperationsStep {
  const claim = state.claims.get(key);
  if (claim === undefined) return step(state);
  if (result.type === 'committed')
    return dispatchClaimed(state, claim, result.versions[0] ?? 0, at);
  if (result.type === 'unavailable') return refuseClaim(state, claim, 'store-unavailable');
  if (result.type === 'ambiguous') {
    const next = { ...state, claims: state.claims.set(key, { ...claim, isAmbiguous: true }) };
    const request = { type: 'read-rows', table: CLAIM_TABLE, keys: [key] } as const;
    return callTable(next, { type: 'claim-read', key }, request);
  }
  return continueClaim(
    state,
    claim,
    result.rows.find((row) => row.key === key),
    at,
  );
}
