/** Reports a repair plan that was proposed. */

import type { Decision } from '../decisions/decision';
import type { LedgerPurpose, LedgerResult, LedgerWrite } from './ledgerWrite';
import type { PlanEffect } from './planMessage';
import type { Plans } from './planState';

type ProposeRepair = Extract<LedgerPurpose, { readonly type: 'propose-repair' }>;

/**
 * Logs and counts a new proposal. Ignores a failed write, for example when another VM stored the
 * same proposal first.
 */
export function handleRepairWritten(
  state: Plans,
  write: LedgerWrite,
  _purpose: ProposeRepair,
  result: LedgerResult,
): Decision<Plans, PlanEffect> {
  if (result.type !== 'committed') return { state, effects: [] };
  const { id, summary } = write.record.plan;
  return {
    state,
    effects: [
      { type: 'count', counter: 'repair_plans_proposed', by: 1 },
      {
        type: 'log',
        level: 'warn',
        message: 'repair plan proposed',
        fields: { plan: id, summary },
      },
    ],
  };
}
