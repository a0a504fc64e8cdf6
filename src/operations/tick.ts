/** The periodic tick, which detects pauses and ends the recovery period after one. */

import { TICK_MS } from './operationLimits';
import type { OperationsState } from './operationsState';
import { step, type OperationsStep } from './step';

/** Records the time, ends an elapsed recovery period and sets the timer again. */
export function tick(state: OperationsState, atMs: number): OperationsStep {
  const hasRecovered = state.recoversAtMs !== undefined && atMs >= state.recoversAtMs;
  const recoversAtMs = hasRecovered ? undefined : state.recoversAtMs;
  const next = { ...state, tickedAtMs: atMs, recoversAtMs };
  return step(next, { type: 'set-timer', timer: 'tick', afterMs: TICK_MS });
}
