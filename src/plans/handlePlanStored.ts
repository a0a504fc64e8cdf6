/** Answers the operator who stated an intent after the plan was stored. */

import type { Decision } from '../decisions/decision';
import { createAnswer, createRefusal, createWriteRefusal, STATUS } from './answers';
import type { LedgerPurpose, LedgerResult, LedgerWrite } from './ledgerWrite';
import type { PlanEffect } from './planMessage';
import type { Plans } from './planState';

type StorePlan = Extract<LedgerPurpose, { readonly type: 'store-plan' }>;

/**
 * Answers with the plan. If it replaces a plan that could not be confirmed, the answer also
 * contains the failed preconditions.
 */
export function handlePlanStored(
  state: Plans,
  write: LedgerWrite,
  purpose: StorePlan,
  result: LedgerResult,
): Decision<Plans, PlanEffect> {
  const { call, failed } = purpose;
  if (result.type !== 'committed') return { state, effects: [createWriteRefusal(call, result)] };
  const { plan } = write.record;
  if (failed.length === 0) {
    return { state, effects: [createAnswer(call, STATUS.ok, { plan, status: 'proposed' })] };
  }
  const detail = `${failed.join('; ')}. Nothing was changed; here is a fresh plan`;
  const more = { failed, plan };
  return { state, effects: [createRefusal(call, STATUS.conflict, 'plan-outdated', detail, more)] };
}
