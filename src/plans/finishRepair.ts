/** Goes on when a repair plan was proposed. */

import type { Decision } from '../decisions/decision';
import type { LedgerPurpose, LedgerResult, LedgerWrite } from './ledgerWrite';
import type { PlanEffect } from './planMessage';
import type { Plans } from './planState';

type ProposeRepair = Extract<LedgerPurpose, { readonly type: 'propose-repair' }>;

/** Logs a new proposal; another VM that proposed the same one first is no news. */
export function finishRepair(
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
