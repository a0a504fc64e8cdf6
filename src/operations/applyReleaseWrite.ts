/** Applies the table's answer to the write that releases a claim. */

import type { TransactionResult } from '../contracts/table';
import type { OperationKey, OperationsState } from './operationsState';
import { scheduleReleaseRetry } from './scheduleReleaseRetry';
import { step, type OperationsStep } from './step';

/** Removes a committed release; after any other answer the row is read again later. */
export function applyReleaseWrite(
  state: OperationsState,
  key: OperationKey,
  result: TransactionResult,
): OperationsStep {
  if (result.type !== 'committed') return scheduleReleaseRetry(state, key);
  return step({ ...state, releases: state.releases.delete(key) });
}
