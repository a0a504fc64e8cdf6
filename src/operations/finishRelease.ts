/** What the table's answer to a release means. */

import type { TransactionResult } from '../contracts/table';
import type { OperationKey, OperationsState } from './operationsState';
import { retryRelease } from './retryRelease';
import { step, type OperationsStep } from './step';

/** A committed release ends it; anything else is read back. */
export function finishRelease(
  state: OperationsState,
  key: OperationKey,
  result: TransactionResult,
): OperationsStep {
  if (result.type !== 'committed') return retryRelease(state, key);
  return step({ ...state, releases: state.releases.delete(key) });
}
