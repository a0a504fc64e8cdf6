/** Answers the operator who cancelled a plan. */

import type { Decision } from '../decisions/decision';
import { createAnswer, createWriteRefusal, STATUS } from './answers';
import type { LedgerPurpose, LedgerResult, LedgerWrite } from './ledgerWrite';
import { registerCall } from './registerCall';
import type { PlanEffect } from './planMessage';
import { PLANS_TABLE } from './planRows';
import type { Plans } from './planState';

type CancelPlan = Extract<LedgerPurpose, { readonly type: 'cancel-plan' }>;

/**
 * Answers the request. If the plan has changed in the meantime, reads it again and cancels its
 * current state.
 */
export function handleCancelWritten(
  state: Plans,
  write: LedgerWrite,
  { call, operator, wallMs }: CancelPlan,
  result: LedgerResult,
): Decision<Plans, PlanEffect> {
  const plan = write.record.plan.id;
  if (result.type === 'committed') {
    const body = { plan, status: result.record.status };
    return { state, effects: [createAnswer(call, STATUS.ok, body)] };
  }
  if (result.type !== 'plan-changed') return { state, effects: [createWriteRefusal(call, result)] };
  const context = { call, operator, wallMs, id: write.id };
  const opened = registerCall(state, { type: 'find-plan', then: 'cancel', plan, context });
  return {
    state: opened.state,
    effects: [{ type: 'read-rows', call: opened.id, table: PLANS_TABLE, keys: [plan] }],
  };
}
