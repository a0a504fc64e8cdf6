/** Finds out whether this VM accepts new work. */

import type { OperationsState } from './operationsState';

/** @returns the reason for refusals as callers see it, or undefined if new work is accepted */
export function getRefusalReason(state: OperationsState): string | undefined {
  if (!state.isAccepting) return state.refusalReason;
  return state.recoversAtMs === undefined ? undefined : 'woke-from-pause';
}
