/** Starts to undo a running plan. */

import type { PlanRecord } from './planRecord';
import { createUndoSteps } from './createUndoSteps';

/**
 * Returns the record of a running plan with the steps that undo its progress.
 *
 * @param record a running plan
 * @param cause the reason, in words
 */
export function startUndo(record: PlanRecord, cause: string): PlanRecord {
  const startedCount = record.step + (record.isStepStarted ? 1 : 0);
  return {
    ...record,
    status: 'undoing',
    undo: createUndoSteps(record.plan.steps, startedCount),
    step: 0,
    isStepStarted: false,
    cause,
  };
}
