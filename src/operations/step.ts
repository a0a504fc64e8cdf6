/** Steps of the operations component, which `chain` composes into one decision. */

import type { Decision } from '../decisions/decision';
import type { OperationEffect } from './operationMessage';
import type { OperationsState } from './operationsState';

/** Result of a step: the next state and its effects. */
export type OperationsStep = Decision<OperationsState, OperationEffect>;

/** Creates the result of a step. */
export function step(
  state: OperationsState,
  ...effects: readonly OperationEffect[]
): OperationsStep {
  return { state, effects };
}
