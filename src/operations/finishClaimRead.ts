/** What the row of a key means that was read back. */

import type { ReadResult } from '../contracts/table';
import type { Occurrence } from '../decisions/primitive';
import type { OperationKey, OperationsState } from './operationsState';
import { refuseClaim } from './refuseClaim';
import { step, type OperationsStep } from './step';
import { takeClaimRow } from './takeClaimRow';

/** Goes on with the claim, or refuses it as not-run while the table can't answer. */
export function finishClaimRead(
  state: OperationsState,
  key: OperationKey,
  result: ReadResult,
  at: Occurrence,
): OperationsStep {
  const claim = state.claims.get(key);
  if (claim === undefined) return step(state);
  if (result.type === 'unavailable') return refuseClaim(state, claim, 'store-unavailable');
  return takeClaimRow(
    state,
    claim,
    result.rows.find((row) => row.key === key),
    at,
  );
}
