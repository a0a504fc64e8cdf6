/** Goes on with an ask when the plan's row was read. */

import type { ReadResult } from '../contracts/table';
import type { Decision } from '../decisions/decision';
import type { Occurrence } from '../decisions/primitive';
import { answer, refuse, STATUS } from './answers';
import { cancelPlan } from './cancelPlan';
import { confirmPlan } from './confirmPlan';
import type { OpenCall } from './openCall';
import type { PlanEffect } from './planMessage';
import { decodePlanRecord } from './planRows';
import type { Plans } from './planState';

type FindPlan = Extract<OpenCall, { readonly type: 'find-plan' }>;

/** Shows, confirms or cancels the plan that was asked for. */
export function handleFoundPlan(
  state: Plans,
  { then, plan, asker }: FindPlan,
  result: ReadResult,
  at: Occurrence,
): Decision<Plans, PlanEffect> {
  const { call } = asker;
  if (result.type === 'unavailable') {
    const refusal = refuse(call, STATUS.unavailable, 'store-unavailable', result.detail);
    return { state, effects: [refusal] };
  }
  const row = result.rows.find((item) => item.key === plan);
  if (row === undefined) {
    const refusal = refuse(call, STATUS.notFound, 'unknown-plan', `There is no plan ${plan}`);
    return { state, effects: [refusal] };
  }
  const record = decodePlanRecord(row.value);
  if (then === 'show') return { state, effects: [answer(call, STATUS.ok, record)] };
  const go = then === 'confirm' ? confirmPlan : cancelPlan;
  return go(state, record, row.version, asker, at);
}
