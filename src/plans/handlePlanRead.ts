/** Continues an operator's request after the plan's row was read. */

import type { ReadResult } from '../contracts/table';
import type { Decision } from '../decisions/decision';
import type { Occurrence } from '../decisions/primitive';
import { createAnswer, createRefusal, STATUS } from './answers';
import { cancelPlan } from './cancelPlan';
import { confirmPlan } from './confirmPlan';
import type { OpenCall } from './openCall';
import type { PlanEffect } from './planMessage';
import { decodePlanRecord } from './planRows';
import type { Plans } from './planState';

type FindPlan = Extract<OpenCall, { readonly type: 'find-plan' }>;

/** Shows, confirms or cancels the requested plan. */
export function handlePlanRead(
  state: Plans,
  { then, plan, context }: FindPlan,
  result: ReadResult,
  at: Occurrence,
): Decision<Plans, PlanEffect> {
  const { call } = context;
  if (result.type === 'unavailable') {
    const refusal = createRefusal(call, STATUS.unavailable, 'store-unavailable', result.detail);
    return { state, effects: [refusal] };
  }
  const row = result.rows.find((item) => item.key === plan);
  if (row === undefined) {
    const refusal = createRefusal(
      call,
      STATUS.notFound,
      'unknown-plan',
      `There is no plan ${plan}`,
    );
    return { state, effects: [refusal] };
  }
  const record = decodePlanRecord(row.value);
  if (then === 'show') return { state, effects: [createAnswer(call, STATUS.ok, record)] };
  const execute = then === 'confirm' ? confirmPlan : cancelPlan;
  return execute(state, record, row.version, context, at);
}
