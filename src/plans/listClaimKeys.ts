/** Lists what a running plan claims exclusively. */

import type { Plan, PlanStep } from './plan';

/**
 * Lists the objects that a plan changes, the engines to which it sends orders, and the models whose
 * capacity it relies on. Two plans that share a key do not run at the same time.
 */
export function listClaimKeys(plan: Plan): readonly string[] {
  const models = plan.preconditions.flatMap((condition) =>
    condition.type === 'capacity' ? [`capacity/${condition.model}`] : [],
  );
  return [...new Set([...plan.steps.flatMap(listStepKeys), ...models])].sort();
}

type KeyListers = {
  readonly [Type in PlanStep['type']]: (
    step: Extract<PlanStep, { readonly type: Type }>,
  ) => readonly string[];
};

const KEY_LISTERS: KeyListers = {
  commit: ({ changes }) => changes.map(({ kind, key }) => `${kind}/${key}`),
  order: ({ engine }) => [`engine/${engine}`],
  drain: ({ backendServer }) => [`backendServer/${backendServer}`],
  'drain-vm': ({ vm }) => [`vm/${vm}`],
};

function listStepKeys(step: PlanStep): readonly string[] {
  const listKeys = KEY_LISTERS[step.type] as (step: PlanStep) => readonly string[];
  return listKeys(step);
}
