/** Counts the unanswered calls on this VM, for its concurrency limit and its drain. */

import type { OperationsState } from './operationsState';

/** @returns the number of operations, look-ups, claims, forwards and outcome searches without an answer */
export function countRunning(state: OperationsState): number {
  return (
    state.running.size +
    state.lookups.size +
    state.claims.size +
    state.forwards.size +
    state.resolutions.size
  );
}
