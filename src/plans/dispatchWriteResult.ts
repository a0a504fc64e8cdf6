/** Passes the result of a ledger write to the handler for its purpose. */

import type { Decision } from '../decisions/decision';
import type { Occurrence } from '../decisions/primitive';
import { handleTransitionWritten } from './handleTransitionWritten';
import { handleCancelWritten } from './handleCancelWritten';
import { handleConfirmWritten } from './handleConfirmWritten';
import { handleRepairWritten } from './handleRepairWritten';
import { handlePlanStored } from './handlePlanStored';
import type { LedgerPurpose, LedgerResult, LedgerWrite } from './ledgerWrite';
import type { PlanEffect } from './planMessage';
import type { Plans } from './planState';

type Handlers = {
  readonly [Type in LedgerPurpose['type']]: (
    state: Plans,
    write: LedgerWrite,
    purpose: Extract<LedgerPurpose, { readonly type: Type }>,
    result: LedgerResult,
    at: Occurrence,
  ) => Decision<Plans, PlanEffect>;
};

const handlers: Handlers = {
  'store-plan': handlePlanStored,
  'confirm-plan': handleConfirmWritten,
  'cancel-plan': handleCancelWritten,
  advance: handleTransitionWritten,
  'propose-repair': handleRepairWritten,
};

/**
 * Calls the handler for the purpose of the write.
 *
 * @param state the state after the write
 * @param write the write as it was sent
 * @param result the result of the write
 */
export function dispatchWriteResult(
  state: Plans,
  write: LedgerWrite,
  result: LedgerResult,
  at: Occurrence,
): Decision<Plans, PlanEffect> {
  const finish = handlers[write.purpose.type] as (
    ...args: readonly unknown[]
  ) => Decision<Plans, PlanEffect>;
  return finish(state, write, write.purpose, result, at);
}
