/** What a plan keeps from other plans while it runs. */

import type { Plan, PlanStep } from './plan';

/**
 * Names the objects that a plan changes, the engines that it orders, and the models whose capacity
 * it rests on. Two plans that share a name do not run at the same time.
 */
export function claimKeys(plan: Plan): readonly string[] {
  const models = plan.preconditions.flatMap((condition) =>
    condition.type === 'capacity' ? [`capacity/${condition.model}`] : [],
  );
  return [...new Set([...plan.steps.flatMap(stepKeys), ...models])].sort();
}

type StepKeys = {
  readonly [Type in PlanStep['type']]: (
    step: Extract<PlanStep, { readonly type: Type }>,
  ) => readonly string[];
};

const KEYS: StepKeys = {
  commit: ({ changes }) => changes.map(({ kind, key }) => `${kind}/${key}`),
  order: ({ engine }) => [`engine/${engine}`],
  drain: ({ backendServer }) => [`backendServer/${backendServer}`],
  'drain-vm': ({ vm }) => [`vm/${vm}`],
};

function stepKeys(step: PlanStep): readonly string[] {
  const keysOf = KEYS[step.type] as (step: PlanStep) => readonly string[];
  return keysOf(step);
}
