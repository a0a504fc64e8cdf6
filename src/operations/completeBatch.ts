/** Applies the table's answer to a batch of results. */

import type { TransactionResult } from '../contracts/table';
import { MAX_TABLE_DELAY_MS, RECORD_RETRY_MS } from './operationLimits';
import type { OperationsState } from './operationsState';
import { scheduleRecording } from './scheduleRecording';
import { step, type OperationsStep } from './step';

/** Schedules a retry unless the batch committed; a retry is safe, as it writes the same rows. */
export function completeBatch(state: OperationsState, result: TransactionResult): OperationsStep {
  const { batch } = state;
  if (batch === undefined) return step(state);
  if (result.type === 'committed') {
    const counted = { type: 'count', counter: 'result_rows', by: batch.writes.length } as const;
    const next = scheduleRecording({ ...state, batch: undefined });
    return step(next.state, counted, ...next.effects);
  }
  const waitMs = RECORD_RETRY_MS * 2 ** batch.tries;
  const afterMs = state.isDraining ? RECORD_RETRY_MS : Math.min(MAX_TABLE_DELAY_MS, waitMs);
  return step(
    { ...state, batch: { ...batch, tries: batch.tries + 1 } },
    { type: 'set-timer', timer: 'record-again', afterMs },
  );
}
