/** States an intent on a bench and confirms its plan. */

import type { Intent } from '../intent';
import type { Plan } from '../plan';
import type { PlanBench } from './planBench';

/** Time in which a quiet bench answers an ask, milliseconds. */
const ANSWER_MS = 1000;

/** States an intent and gives the plan; fails where there is none. */
export function proposeIntent(bench: PlanBench, intent: Intent, node = 0): Plan {
  const asked = bench.ask(node, { type: 'state-intent', intent, reason: 'test' });
  bench.run(ANSWER_MS);
  if (asked.answer?.status !== 200) throw new Error(JSON.stringify(asked.answer));
  return (asked.answer.body as { readonly plan: Plan }).plan;
}

/** States an intent, confirms the plan, and runs on for a while. */
export function confirmIntent(bench: PlanBench, intent: Intent, forMs = ANSWER_MS): Plan {
  const plan = proposeIntent(bench, intent);
  const confirmed = bench.ask(0, { type: 'confirm-plan', plan: plan.id });
  bench.run(forMs);
  if (confirmed.answer?.status !== 200) throw new Error(JSON.stringify(confirmed.answer));
  return plan;
}
