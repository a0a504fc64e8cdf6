/** Submits an intent on a test bench and confirms its plan. */

import type { Intent } from '../intent';
import type { Plan } from '../plan';
import type { PlanBench } from './createPlanBench';

/** Time in which an idle bench answers an operator's request, milliseconds. */
const ANSWER_MS = 1000;

/** Submits an intent and returns the plan; throws if there is none. */
export function proposeIntent(bench: PlanBench, intent: Intent, node = 0): Plan {
  const asked = bench.ask(node, { type: 'state-intent', intent, reason: 'test' });
  bench.run(ANSWER_MS);
  if (asked.answer?.status !== 200) throw new Error(JSON.stringify(asked.answer));
  return (asked.answer.body as { readonly plan: Plan }).plan;
}

/** Submits an intent, confirms the plan, and then runs the bench for `forMs`. */
export function confirmIntent(bench: PlanBench, intent: Intent, forMs = ANSWER_MS): Plan {
  const plan = proposeIntent(bench, intent);
  const confirmed = bench.ask(0, { type: 'confirm-plan', plan: plan.id });
  bench.run(forMs);
  if (confirmed.answer?.status !== 200) throw new Error(JSON.stringify(confirmed.answer));
  return plan;
}
