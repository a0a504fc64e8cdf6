/** Marks the row of a key as released. */

import { callTable } from './callTable';
import { CLAIM_TABLE } from './operationLimits';
import type { OperationKey, OperationsState } from './operationsState';
import type { ClaimRow } from './recordedResult';
import { step, type OperationsStep } from './step';

/**
 * Replaces the row if it has this version. The row is not deleted: its version only grows, so a delayed
 * write can't overwrite a later claim.
 */
export function writeRelease(
  state: OperationsState,
  key: OperationKey,
  version: number,
): OperationsStep {
  const release = state.releases.get(key);
  if (release === undefined) return step(state);
  const row: ClaimRow = { state: 'released', token: release.token };
  const transaction = {
    conditions: [{ table: CLAIM_TABLE, key, version }],
    writes: [{ table: CLAIM_TABLE, key, value: JSON.stringify(row) }],
  };
  return callTable(state, { type: 'release', key }, { type: 'transact', transaction });
}
