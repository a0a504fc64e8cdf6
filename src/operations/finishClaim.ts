/** What the table's answer to a claim means. */

import type { TransactionResult } from '../contracts/table';
import type { Occurrence } from '../decisions/primitive';
import { callTable } from './callTable';
import { CLAIM_TABLE } from './operationLimits';
import type { OperationKey, OperationsState } from './operationsState';
import { refuseClaim } from './refuseClaim';
import { step, type OperationsStep } from './step';
import { takeClaimRow } from './takeClaimRow';
import { winClaim } from './winClaim';

/** Dispatches, follows the row of another, reads a lost reply back, or refuses as not-run. */
export function finishClaim(
  state: OperationsState,
  key: OperationKey,
  result: TransactionResult,
  at: Occurrence,
): OperationsStep {
  const claim = state.claims.get(key);
  if (claim === undefined) return step(state);
  if (result.type === 'committed') return winClaim(state, claim, result.versions[0] ?? 0, at);
  if (result.type === 'unavailable') return refuseClaim(state, claim, 'store-unavailable');
  if (result.type === 'ambiguous') {
    const next = { ...state, claims: state.claims.set(key, { ...claim, isAmbiguous: true }) };
    const request = { type: 'read-rows', table: CLAIM_TABLE, keys: [key] } as const;
    return callTable(next, { type: 'claim-read', key }, request);
  }
  return takeClaimRow(
    state,
    claim,
    result.rows.find((row) => row.key === key),
    at,
  );
}
