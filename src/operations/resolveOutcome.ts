/** Finds out how an operation ended whose home can't be asked; it never runs anything. */

import type { Occurrence } from '../decisions/primitive';
import type { PlainCall } from './operationMessage';
import type { OperationsState } from './operationsState';
import { refuseCall } from './refuseCall';
import type { OperationsStep } from './step';

/** Answers `unknown` with the reason. */
export function resolveOutcome(
  state: OperationsState,
  call: PlainCall,
  reason: string,
  at: Occurrence,
): OperationsStep {
  const detail = `It may have run; not known at ${at.atMs}`;
  return refuseCall(state, call.call, { outcome: 'unknown', reason, detail });
}
