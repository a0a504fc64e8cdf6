/** What the table's answer means for a batch of results. */

import type { TransactionResult } from '../contracts/table';
import { MAX_TABLE_DELAY_MS, RECORD_RETRY_MS } from './operationLimits';
import type { OperationsState } from './operationsState';
import { scheduleRecording } from './scheduleRecording';
import { step, type OperationsStep } from './step';

/** A batch that did not get through, or may not have, is written again: the rows are the same. */
export function finishRecording(state: OperationsState, result: TransactionResult): OperationsStep {
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
