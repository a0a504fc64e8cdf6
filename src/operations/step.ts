/** Small steps of the operations side, and how they are joined into one decision. */

import type { Decision } from '../decisions/decision';
import type { OperationEffect } from './operationMessage';
import type { OperationsState } from './operationsState';

/** What a step leaves: the next state and the effects so far. */
export type OperationsStep = Decision<OperationsState, OperationEffect>;

/** A step without more to do. */
export function step(
  state: OperationsState,
  ...effects: readonly OperationEffect[]
): OperationsStep {
  return { state, effects };
}
