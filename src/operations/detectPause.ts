/**
 * Detects that this VM was paused, from an overdue tick. Its reports on servers and its own availability
 * may be stale then, and the events that queued up during the pause arrive before the next report of the
 * fleet component. New work is refused until that report has had time to arrive.
 */

import { RECOVERY_MS, PAUSE_MS } from './operationLimits';
import type { OperationsState } from './operationsState';
import { step, type OperationsStep } from './step';

/** Starts the recovery period if the last tick is too old. */
export function detectPause(state: OperationsState, atMs: number): OperationsStep {
  if (state.tickedAtMs === undefined || atMs - state.tickedAtMs <= PAUSE_MS) return step(state);
  const next = { ...state, tickedAtMs: atMs, recoversAtMs: atMs + RECOVERY_MS };
  return step(next, { type: 'count', counter: 'operation_pauses', by: 1 });
}
