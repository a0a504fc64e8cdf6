/** Announces once that a draining VM has handed over all of its operations. */

import type { OperationsState } from './operationsState';
import { step, type OperationsStep } from './step';

/** Emits `handed-over` when nothing runs, no claim or release is pending, and every result is recorded. */
export function announceHandover(state: OperationsState): OperationsStep {
  const isDone =
    state.isDraining &&
    !state.isAccepting &&
    !state.isHandedOver &&
    state.running.isEmpty() &&
    state.claims.isEmpty() &&
    state.releases.isEmpty() &&
    state.unrecorded.isEmpty() &&
    state.batch === undefined;
  return isDone ? step({ ...state, isHandedOver: true }, { type: 'handed-over' }) : step(state);
}
