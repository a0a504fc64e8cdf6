/** Writes the row that claims a key. */

import { callTable } from './callTable';
import { fingerprintCall } from './fingerprintCall';
import { CLAIM_TABLE } from './operationLimits';
import type { Claim, OperationsState } from './operationsState';
import type { ClaimRow } from './recordedResult';
import type { OperationsStep } from './step';

/**
 * Sends the conditional write.
 *
 * @param expectedVersion version of the released row that the claim replaces, 0 if there is no row
 */
export function sendClaim(
  state: OperationsState,
  claim: Claim,
  expectedVersion: number,
): OperationsStep {
  const { key, token, call, tries } = claim;
  const { vm, incarnation } = state.options;
  const fingerprint = fingerprintCall(call);
  const row: ClaimRow = { state: 'claimed', vm, incarnation, token, fingerprint };
  const next = { ...state, claims: state.claims.set(key, { ...claim, tries: tries + 1 }) };
  const transaction = {
    conditions: [{ table: CLAIM_TABLE, key, version: expectedVersion }],
    writes: [{ table: CLAIM_TABLE, key, value: JSON.stringify(row) }],
  };
  return callTable(next, { type: 'claim', key }, { type: 'transact', transaction });
}
