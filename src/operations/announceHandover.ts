/** Says, once, that a draining VM has handed everything over. */

import type { OperationsState } from './operationsState';
import { step, type OperationsStep } from './step';

/** Nothing runs, no key waits to be released, and every result is in the table. */
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
