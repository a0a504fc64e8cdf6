/** Works out the steps that take back a plan that was begun. */

import type { PlanStep } from './plan';

/**
 * Takes the begun steps back in reverse. Where an engine was ordered it is drained before it is
 * ordered back, because it may have been given work again meanwhile.
 *
 * @param steps the plan's steps
 * @param begun how many of them were begun
 */
export function undoSteps(steps: readonly PlanStep[], begun: number): readonly PlanStep[] {
  return steps.slice(0, begun).reverse().flatMap(undoStep);
}

function undoStep(step: PlanStep): readonly PlanStep[] {
  if (step.type === 'commit') {
    return [{ type: 'commit', changes: step.undo, undo: step.changes }];
  }
  if (step.type !== 'order' || step.before === undefined) return [];
  const back = { ...step, wanted: step.before, before: step.wanted };
  return [{ type: 'drain', backendServer: step.engine, waitMs: 0 }, back];
}
