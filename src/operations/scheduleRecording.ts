/** Sets the timer for the next batch of results. */

import { DRAIN_RECORD_INTERVAL_MS } from './operationLimits';
import type { OperationsState } from './operationsState';
import { step, type OperationsStep } from './step';

/** Sets the timer if results are waiting and neither the timer nor a batch is pending. */
export function scheduleRecording(state: OperationsState): OperationsStep {
  if (state.isRecordTimerSet || state.batch !== undefined || state.unrecorded.isEmpty()) {
    return step(state);
  }
  const afterMs = state.isDraining ? DRAIN_RECORD_INTERVAL_MS : state.recordPauseMs;
  return step(
    { ...state, isRecordTimerSet: true },
    { type: 'set-timer', timer: 'record', afterMs },
  );
}
