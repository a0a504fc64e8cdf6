/** Composes steps of the operations component. */

import type { OperationsState } from './operationsState';
import type { OperationsStep } from './step';

/**
 * Runs steps in sequence.
 *
 * @param first the initial state
 * @param steps each receives the state of the previous step
 * @returns the last state and the effects of all steps, in order
 */
export function chain(
  first: OperationsState,
  ...steps: readonly ((state: OperationsState) => OperationsStep)[]
): OperationsStep {
  return steps.reduce<OperationsStep>(
    (before, next) => {
      const after = next(before.state);
      return { state: after.state, effects: [...before.effects, ...after.effects] };
    },
    { state: first, effects: [] },
  );
}
