/** Why this VM takes no new work, if it takes none. */

import type { OperationsState } from './operationsState';

/** @returns the reason as callers see it, or undefined where new work is taken */
export function whyClosed(state: OperationsState): string | undefined {
  if (!state.isAccepting) return state.refusalReason;
  return state.doubtsUntilMs === undefined ? undefined : 'woke-from-pause';
}
