/** Answers the operator who stated an intent, once the plan is stored. */

import type { Decision } from '../decisions/decision';
import { answer, refuse, refuseWrite, STATUS } from './answers';
import type { LedgerPurpose, LedgerResult, LedgerWrite } from './ledgerWrite';
import type { PlanEffect } from './planMessage';
import type { Plans } from './planState';

type StorePlan = Extract<LedgerPurpose, { readonly type: 'store-plan' }>;

/** Answers with the plan; after a lost confirm also with what had changed. */
export function finishStore(
  state: Plans,
  write: LedgerWrite,
  purpose: StorePlan,
  result: LedgerResult,
): Decision<Plans, PlanEffect> {
  const { call, failed } = purpose;
  if (result.type !== 'committed') return { state, effects: [refuseWrite(call, result)] };
  const { plan } = write.record;
  if (failed.length === 0) {
    return { state, effects: [answer(call, STATUS.ok, { plan, status: 'proposed' })] };
  }
  const detail = `${failed.join('; ')}. Nothing was changed; here is a fresh plan`;
  const more = { failed, plan };
  return { state, effects: [refuse(call, STATUS.conflict, 'plan-outdated', detail, more)] };
}
