/**
 * Results of steps in the operations component. A step is a function of the state; `chain` runs several
 * steps in sequence and combines their results into one.
 */

import type { Decision } from '../decisions/decision';
import type { OperationEffect } from './operationMessage';
import type { OperationsState } from './operationsState';

/** Result of a step: the next state and its effects. */
export type OperationsStep = Decision<OperationsState, OperationEffect>;

/** Creates the result of a step; without further arguments, it has no effects. */
export function step(
  state: OperationsState,
  ...effects: readonly OperationEffect[]
): OperationsStep {
  return { state, effects };
}
