/** Answers the operator who confirmed a plan. */

import type { Decision } from '../decisions/decision';
import type { Occurrence } from '../decisions/primitive';
import { createAnswer, createRefusal, createWriteRefusal, STATUS } from './answers';
import { createPlanId } from './createPlanId';
import { createFinalPlanRefusal } from './confirmPlan';
import { digestObject } from './digestObject';
import type { LedgerPurpose, LedgerResult, LedgerWrite } from './ledgerWrite';
import { planIntent } from './planIntent';
import type { PlanEffect } from './planMessage';
import { decodePlanRecord, type Claim } from './planRows';
import type { Plans } from './planState';
import { scanLeases } from './scanLeases';
import { storePlan } from './storePlan';

type ConfirmPlan = Extract<LedgerPurpose, { readonly type: 'confirm-plan' }>;
type PlansDecision = Decision<Plans, PlanEffect>;
type Handler<Type extends LedgerResult['type']> = (
  state: Plans,
  write: LedgerWrite,
  purpose: ConfirmPlan,
  result: Extract<LedgerResult, { readonly type: Type }>,
  at: Occurrence,
) => PlansDecision;

const handlers: { readonly [Type in LedgerResult['type']]: Handler<Type> } = {
  committed: (state, _write, { call }, { record, revision }) => {
    const body = { plan: record.plan.id, status: record.status, revision };
    const answered = createAnswer(call, STATUS.ok, body);
    if (record.status === 'done') return { state, effects: [answered] };
    const scan = scanLeases(state);
    return { state: scan.state, effects: [answered, ...scan.effects] };
  },
  'plan-changed': (state, write, { call }, { row }) => {
    const record =
      row === undefined || row.version === 0 ? write.record : decodePlanRecord(row.value);
    return { state, effects: [createFinalPlanRefusal(call, record)] };
  },
  claimed: (state, _write, { call }, { rows }) => {
    const others = rows
      .filter((row) => row.version > 0)
      .map((row) => `${row.key} (plan ${(JSON.parse(row.value) as Claim).plan})`);
    const detail = `Running plans hold ${others.join(', ')}; confirm again when they are done`;
    return { state, effects: [createRefusal(call, STATUS.conflict, 'held-by-plan', detail)] };
  },
  'preconditions-failed': replan,
  'lease-lost': (state, _write, { call }, result) => ({
    state,
    effects: [createWriteRefusal(call, result)],
  }),
  unavailable: (state, _write, { call }, result) => ({
    state,
    effects: [createWriteRefusal(call, result)],
  }),
  unknown: (state, _write, { call }, result) => ({
    state,
    effects: [createWriteRefusal(call, result)],
  }),
};

/** Answers a confirmation according to the result of its transaction. */
export function handleConfirmWritten(
  state: Plans,
  write: LedgerWrite,
  purpose: ConfirmPlan,
  result: LedgerResult,
  at: Occurrence,
): PlansDecision {
  const finish = handlers[result.type] as Handler<LedgerResult['type']>;
  return finish(state, write, purpose, result, at);
}

/** Creates a new plan for the same intent on the current configuration. */
function replan(
  state: Plans,
  { record, id }: LedgerWrite,
  { call, operator, wallMs }: ConfirmPlan,
  { failed }: Extract<LedgerResult, { readonly type: 'preconditions-failed' }>,
  at: Occurrence,
): PlansDecision {
  const { intent, reason } = record;
  const newId = createPlanId(wallMs, digestObject(id) ?? '');
  const planned = planIntent(state.configuration, intent, newId, operator.name);
  if (planned.type === 'impossible') {
    const detail = `${failed.join('; ')}. Nothing was changed, and there is no plan any more`;
    const more = { failed, problems: planned.problems };
    return {
      state,
      effects: [createRefusal(call, STATUS.conflict, 'plan-outdated', detail, more)],
    };
  }
  const purpose = { type: 'store-plan', call, failed } as const;
  return storePlan(state, { plan: planned.plan, intent, reason, wallMs, purpose }, at);
}
