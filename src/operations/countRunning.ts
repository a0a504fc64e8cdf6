/** How much runs on this VM, for its limits and its drain. */

import type { OperationsState } from './operationsState';

/** @returns operations, look-ups, claims, forwards and searches for outcomes that have no answer yet */
export function countRunning(state: OperationsState): number {
  return (
    state.running.size +
    state.lookups.size +
    state.claims.size +
    state.forwards.size +
    state.resolutions.size
  );
}
