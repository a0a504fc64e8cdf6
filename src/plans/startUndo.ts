/** Turns a running plan back. */

import type { PlanRecord } from './planRecord';
import { undoSteps } from './undoSteps';

/**
 * Gives the record of a plan that is to be undone from where it stands.
 *
 * @param record a running plan
 * @param cause why, in words
 */
export function startUndo(record: PlanRecord, cause: string): PlanRecord {
  const begun = record.step + (record.isStepStarted ? 1 : 0);
  return {
    ...record,
    status: 'undoing',
    undo: undoSteps(record.plan.steps, begun),
    step: 0,
    isStepStarted: false,
    cause,
  };
}
