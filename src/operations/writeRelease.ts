/** Marks a claimed key as released in the table. */

import { callTable } from './callTable';
import { CLAIM_TABLE } from './operationLimits';
import type { OperationKey, OperationsState } from './operationsState';
import type { ClaimRow } from './recordedResult';
import { step, type OperationsStep } from './step';

/**
 * Replaces the row of the key if the row still has the given version. The row is not deleted, so its
 * version only grows, and a delayed write can't overwrite a later claim. Does nothing if the key is not
 * being released.
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
