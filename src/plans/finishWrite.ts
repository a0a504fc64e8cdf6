/** Goes on with the result of a ledger write, by what the write was for. */

import type { Decision } from '../decisions/decision';
import type { Occurrence } from '../decisions/primitive';
import { finishAdvance } from './finishAdvance';
import { finishCancel } from './finishCancel';
import { finishConfirm } from './finishConfirm';
import { finishRepair } from './finishRepair';
import { finishStore } from './finishStore';
import type { LedgerPurpose, LedgerResult, LedgerWrite } from './ledgerWrite';
import type { PlanEffect } from './planMessage';
import type { Plans } from './planState';

type Finishers = {
  readonly [Type in LedgerPurpose['type']]: (
    state: Plans,
    write: LedgerWrite,
    purpose: Extract<LedgerPurpose, { readonly type: Type }>,
    result: LedgerResult,
    at: Occurrence,
  ) => Decision<Plans, PlanEffect>;
};

const finishers: Finishers = {
  'store-plan': finishStore,
  'confirm-plan': finishConfirm,
  'cancel-plan': finishCancel,
  advance: finishAdvance,
  'propose-repair': finishRepair,
};

/**
 * Hands the result to who waits for it.
 *
 * @param state the state after the write
 * @param write the write as it was sent
 * @param result how it ended
 */
export function finishWrite(
  state: Plans,
  write: LedgerWrite,
  result: LedgerResult,
  at: Occurrence,
): Decision<Plans, PlanEffect> {
  const finish = finishers[write.purpose.type] as (
    ...args: readonly unknown[]
  ) => Decision<Plans, PlanEffect>;
  return finish(state, write, write.purpose, result, at);
}
