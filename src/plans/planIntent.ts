/** Turns an intent into a plan, or into the problems that prevent one. */

import type { Configuration } from '../configuration/configuration';
import { completeSteps } from './completeSteps';
import { estimatePlanCost } from './estimatePlanCost';
import type { Draft, Impossible } from './draft';
import type { Intent } from './intent';
import { parseIntent } from './parseIntent';
import type { Plan, PlanId } from './plan';
import { planAddServer } from './planAddServer';
import { planDescribeSite } from './planDescribeSite';
import { planMoveModel } from './planMoveModel';
import { planPutService } from './planPutService';
import { planPutWorkspace } from './planPutWorkspace';
import { planReplaceEngine } from './planReplaceEngine';
import { planRetireServer } from './planRetireServer';
import { planRetireService } from './planRetireService';
import { planRetireVm } from './planRetireVm';
import { planSetEngine } from './planSetEngine';
import { predictThroughput } from './predictThroughput';

type Planners = {
  readonly [Type in Intent['type']]: (
    configuration: Configuration,
    intent: Extract<Intent, { readonly type: Type }>,
  ) => Draft | Impossible;
};

const planners: Planners = {
  'put-service': planPutService,
  'retire-service': planRetireService,
  'move-model': planMoveModel,
  'add-backend-server': planAddServer,
  'retire-backend-server': planRetireServer,
  'replace-engine': planReplaceEngine,
  'retire-vm': planRetireVm,
  'put-workspace': planPutWorkspace,
  'set-engine': planSetEngine,
  'describe-site': planDescribeSite,
};

export type PlanningResult = { readonly type: 'planned'; readonly plan: Plan } | Impossible;

/**
 * Plans one intent.
 *
 * @param configuration the objects that the plan is based on
 * @param intent the requested change
 * @param id the id of the new plan
 * @param operator the name of the operator
 */
export function planIntent(
  configuration: Configuration,
  intent: Intent,
  id: PlanId,
  operator: string,
): PlanningResult {
  const parsed = parseIntent(intent);
  if (parsed.type === 'impossible') return parsed;
  const planner = planners[intent.type] as (
    configuration: Configuration,
    intent: Intent,
  ) => Draft | Impossible;
  const draft = planner(configuration, parsed.intent);
  if (draft.type === 'impossible') return draft;
  const { steps, stages } = completeSteps(configuration, draft.steps);
  const { summary, preconditions, risks, rejected } = draft;
  const throughput = predictThroughput(stages);
  const plan: Plan = {
    id,
    operator,
    summary,
    basedOn: configuration.revision,
    preconditions,
    steps,
    throughput,
    cost: estimatePlanCost(configuration, stages, steps),
    risks: [...risks, ...describeThroughputRisks(throughput)],
    rejected,
  };
  return { type: 'planned', plan };
}

function describeThroughputRisks(throughput: Plan['throughput']): readonly string[] {
  return throughput
    .filter(({ before, during }) => during < before)
    .map(
      ({ service, before, during }) =>
        `${service} falls from ${Math.floor(before)} to ${Math.floor(during)} tokens/s meanwhile`,
    );
}
