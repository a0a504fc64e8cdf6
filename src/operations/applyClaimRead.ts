/** Applies the table's answer to a read of the row of a key that is being claimed. */

import type { ReadResult } from '../contracts/table';
import type { Occurrence } from '../decisions/primitive';
import type { OperationKey, OperationsState } from './operationsState';
import { refuseClaim } from './refuseClaim';
import { step, type OperationsStep } from './step';
import { continueClaim } from './continueClaim';

/** Continues the claim, or refuses it as not-run if the table is unavailable. */
export function applyClaimRead(
  state: OperationsState,
  key: OperationKey,
  result: ReadResult,
  at: Occurrence,
): OperationsStep {
  const claim = state.claims.get(key);
  if (claim === undefined) return step(state);
  if (result.type === 'unavailable') return refuseClaim(state, claim, 'store-unavailable');
  return continueClaim(
    state,
    claim,
    result.rows.find((row) => row.key === key),
    at,
  );
}
