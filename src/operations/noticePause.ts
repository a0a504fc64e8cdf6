/**
 * Notices that this VM was paused: its own timer is overdue. What it last heard of servers and of its
 * own standing may be old then, and the events that queued up meanwhile come before the fleet side's
 * next word. So nothing new is sent until that word has had time to come.
 */

import { DOUBT_MS, PAUSE_MS } from './operationLimits';
import type { OperationsState } from './operationsState';
import { step, type OperationsStep } from './step';

/** Starts to doubt where the timer is overdue. */
export function noticePause(state: OperationsState, atMs: number): OperationsStep {
  if (state.tickedAtMs === undefined || atMs - state.tickedAtMs <= PAUSE_MS) return step(state);
  const next = { ...state, tickedAtMs: atMs, doubtsUntilMs: atMs + DOUBT_MS };
  return step(next, { type: 'count', counter: 'operation_pauses', by: 1 });
}
