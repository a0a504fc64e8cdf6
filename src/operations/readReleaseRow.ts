/** Reads the row of a key that is being released. */

import { callTable } from './callTable';
import { CLAIM_TABLE } from './operationLimits';
import type { OperationKey, OperationsState } from './operationsState';
import { step, type OperationsStep } from './step';

/** Requests the row to find out whether the last try took effect. */
export function readReleaseRow(state: OperationsState, key: OperationKey): OperationsStep {
  if (!state.releases.has(key)) return step(state);
  const request = { type: 'read-rows', table: CLAIM_TABLE, keys: [key] } as const;
  return callTable(state, { type: 'release-read', key }, request);
}
