/** Answers the operator who cancelled a plan. */

import type { Decision } from '../decisions/decision';
import { answer, refuseWrite, STATUS } from './answers';
import type { LedgerPurpose, LedgerResult, LedgerWrite } from './ledgerWrite';
import { openCallAs } from './openCallAs';
import type { PlanEffect } from './planMessage';
import { PLANS_TABLE } from './planRows';
import type { Plans } from './planState';

type CancelPlan = Extract<LedgerPurpose, { readonly type: 'cancel-plan' }>;

/** Answers; where the plan moved on meanwhile, reads it again and cancels what it is now. */
export function finishCancel(
  state: Plans,
  write: LedgerWrite,
  { call, operator, wallMs }: CancelPlan,
  result: LedgerResult,
): Decision<Plans, PlanEffect> {
  const plan = write.record.plan.id;
  if (result.type === 'committed') {
    const body = { plan, status: result.record.status };
    return { state, effects: [answer(call, STATUS.ok, body)] };
  }
  if (result.type !== 'plan-changed') return { state, effects: [refuseWrite(call, result)] };
  const asker = { call, operator, wallMs, id: write.id };
  const opened = openCallAs(state, { type: 'find-plan', then: 'cancel', plan, asker });
  return {
    state: opened.state,
    effects: [{ type: 'read-rows', call: opened.id, table: PLANS_TABLE, keys: [plan] }],
  };
}
