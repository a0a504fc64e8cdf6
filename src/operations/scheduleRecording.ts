/** Sets the timer for the next batch of results. */

import { MIN_RECORD_INTERVAL_MS, RECORD_WRITES_PER_SECOND } from './operationLimits';
import type { OperationsState } from './operationsState';
import { step, type OperationsStep } from './step';
import { MS_PER_SECOND } from '../units';

/** Arms the timer where results wait and it is not running yet. */
export function scheduleRecording(state: OperationsState): OperationsStep {
  if (state.isRecordTimerSet || state.batch !== undefined || state.unrecorded.isEmpty()) {
    return step(state);
  }
  const afterMs = state.isDraining ? 0 : getRecordInterval(state.vms.length);
  return step(
    { ...state, isRecordTimerSet: true },
    { type: 'set-timer', timer: 'record', afterMs },
  );
}

function getRecordInterval(vms: number): number {
  const shareMs = (MS_PER_SECOND * vms) / RECORD_WRITES_PER_SECOND;
  return Math.max(MIN_RECORD_INTERVAL_MS, shareMs);
}
