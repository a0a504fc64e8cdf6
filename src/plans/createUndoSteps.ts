/** Creates the steps that undo a plan that was started. */

import type { PlanStep } from './plan';

/**
 * Reverts the started steps in reverse order. An engine is drained before it is ordered back,
 * because it may have received work again in the meantime.
 *
 * @param steps the plan's steps
 * @param startedCount the number of steps that were started
 */
export function createUndoSteps(
  steps: readonly PlanStep[],
  startedCount: number,
): readonly PlanStep[] {
  return steps.slice(0, startedCount).reverse().flatMap(createStepUndo);
}

function createStepUndo(step: PlanStep): readonly PlanStep[] {
  if (step.type === 'commit') {
    return [{ type: 'commit', changes: step.undo, undo: step.changes }];
  }
  if (step.type !== 'order' || step.before === undefined) return [];
  const revert = { ...step, wanted: step.before, before: step.wanted };
  return [{ type: 'drain', backendServer: step.engine, waitMs: 0 }, revert];
}
