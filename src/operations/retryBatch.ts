/** Retries a batch of results. */

import { callTable } from './callTable';
import type { OperationsState } from './operationsState';
import { step, type OperationsStep } from './step';

/** Writes the rows of the batch again. */
export function retryBatch(state: OperationsState): OperationsStep {
  const { batch } = state;
  if (batch === undefined) return step(state);
  const transaction = { conditions: [], writes: batch.writes };
  return callTable(state, { type: 'record' }, { type: 'transact', transaction });
}
