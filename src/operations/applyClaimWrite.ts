/** Applies the table's answer to the conditional write of a claim. */

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
 * Dispatches the operation if the write committed, and refuses it as not-run if the table is
 * unavailable. After a conflict it evaluates the existing row; after a lost reply it reads the row back.
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
