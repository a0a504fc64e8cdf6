/** Answers the operator who confirmed a plan. */

import type { Decision } from '../decisions/decision';
import type { Occurrence } from '../decisions/primitive';
import { answer, refuse, refuseWrite, STATUS } from './answers';
import { createPlanId } from './createPlanId';
import { refuseSettled } from './confirmPlan';
import { digestObject } from './digestObject';
import type { LedgerPurpose, LedgerResult, LedgerWrite } from './ledgerWrite';
import { planIntent } from './planIntent';
import type { PlanEffect } from './planMessage';
import { decodePlanRecord, type Claim } from './planRows';
import type { Plans } from './planState';
import { scanLeases } from './scanLeases';
import { storePlan } from './storePlan';

type ConfirmPlan = Extract<LedgerPurpose, { readonly type: 'confirm-plan' }>;
type Step = Decision<Plans, PlanEffect>;
type Finish<Type extends LedgerResult['type']> = (
  state: Plans,
  write: LedgerWrite,
  purpose: ConfirmPlan,
  result: Extract<LedgerResult, { readonly type: Type }>,
  at: Occurrence,
) => Step;

const finishers: { readonly [Type in LedgerResult['type']]: Finish<Type> } = {
  committed: (state, _write, { call }, { record, revision }) => {
    const body = { plan: record.plan.id, status: record.status, revision };
    const answered = answer(call, STATUS.ok, body);
    if (record.status === 'done') return { state, effects: [answered] };
    const scan = scanLeases(state);
    return { state: scan.state, effects: [answered, ...scan.effects] };
  },
  'plan-changed': (state, write, { call }, { row }) => {
    const record =
      row === undefined || row.version === 0 ? write.record : decodePlanRecord(row.value);
    return { state, effects: [refuseSettled(call, record)] };
  },
  claimed: (state, _write, { call }, { rows }) => {
    const others = rows
      .filter((row) => row.version > 0)
      .map((row) => `${row.key} (plan ${(JSON.parse(row.value) as Claim).plan})`);
    const detail = `Running plans hold ${others.join(', ')}; confirm again when they are done`;
    return { state, effects: [refuse(call, STATUS.conflict, 'held-by-plan', detail)] };
  },
  'preconditions-failed': replan,
  'lease-lost': (state, _write, { call }, result) => ({
    state,
    effects: [refuseWrite(call, result)],
  }),
  unavailable: (state, _write, { call }, result) => ({
    state,
    effects: [refuseWrite(call, result)],
  }),
  unknown: (state, _write, { call }, result) => ({ state, effects: [refuseWrite(call, result)] }),
};

/** Answers a confirm by how its transaction ended. */
export function finishConfirm(
  state: Plans,
  write: LedgerWrite,
  purpose: ConfirmPlan,
  result: LedgerResult,
  at: Occurrence,
): Step {
  const finish = finishers[result.type] as Finish<LedgerResult['type']>;
  return finish(state, write, purpose, result, at);
}

/** Makes a fresh plan for the same intent on what is there now. */
function replan(
  state: Plans,
  { record, id }: LedgerWrite,
  { call, operator, wallMs }: ConfirmPlan,
  { failed }: Extract<LedgerResult, { readonly type: 'preconditions-failed' }>,
  at: Occurrence,
): Step {
  const { intent, reason } = record;
  const fresh = createPlanId(wallMs, digestObject(id) ?? '');
  const planned = planIntent(state.configuration, intent, fresh, operator.name);
  if (planned.type === 'impossible') {
    const detail = `${failed.join('; ')}. Nothing was changed, and there is no plan any more`;
    const more = { failed, problems: planned.problems };
    return { state, effects: [refuse(call, STATUS.conflict, 'plan-outdated', detail, more)] };
  }
  const purpose = { type: 'store-plan', call, failed } as const;
  return storePlan(state, { plan: planned.plan, intent, reason, wallMs, purpose }, at);
}
