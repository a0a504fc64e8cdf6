/** The timer by which a pause is noticed, and by which the doubt after it ends. */

import { TICK_MS } from './operationLimits';
import type { OperationsState } from './operationsState';
import { step, type OperationsStep } from './step';

/** Notes the time and sets the timer again. */
export function tick(state: OperationsState, atMs: number): OperationsStep {
  const isOver = state.doubtsUntilMs !== undefined && atMs >= state.doubtsUntilMs;
  const doubtsUntilMs = isOver ? undefined : state.doubtsUntilMs;
  const next = { ...state, tickedAtMs: atMs, doubtsUntilMs };
  return step(next, { type: 'set-timer', timer: 'tick', afterMs: TICK_MS });
}
