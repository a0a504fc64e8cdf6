/** Joins steps of the operations side. */

import type { OperationsState } from './operationsState';
import type { OperationsStep } from './step';

/**
 * Runs steps one after the other.
 *
 * @param first the state to start from
 * @param steps each gets the state of the one before
 * @returns the last state with all effects in order
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
