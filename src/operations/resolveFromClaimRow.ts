/** Resolves the outcome of an operation from the claim row of its key. */

import type { ReadResult } from '../contracts/table';
import type { CallId } from '../decisions/primitive';
import { queryStatus } from './queryStatus';
import type { OperationsState } from './operationsState';
import { parseRow } from './parseRow';
import { claimRowSchema, type ClaimRow } from './recordedResult';
import { completeResolution } from './completeResolution';
import { step, type OperationsStep } from './step';

/** Answers with the recorded result, else forwards to the claimer or queries the backend servers. */
export function resolveFromClaimRow(
  state: OperationsState,
  call: CallId,
  result: ReadResult,
): OperationsStep {
  const row = result.type === 'rows' ? result.rows[0] : undefined;
  const value = row && parseRow(row, claimRowSchema);
  if (value?.state === 'done') {
    return completeResolution(state, call, value.fingerprint, value.result);
  }
  return forwardToClaimer(state, call, value) ?? queryStatus(state, call);
}

/** Forwards a call that only queries the outcome to the claimer, if that incarnation still runs. */
function forwardToClaimer(
  state: OperationsState,
  id: CallId,
  row: ClaimRow | undefined,
): OperationsStep | undefined {
  const resolution = state.resolutions.get(id);
  if (row?.state !== 'claimed' || resolution?.reason !== 'not-recorded') return undefined;
  const { call } = resolution;
  const claimer = state.vms.find(
    (peer) => peer.id === row.vm && peer.incarnation === row.incarnation,
  );
  if (claimer === undefined || row.vm === state.options.vm || call.forwardedBy !== undefined) {
    return undefined;
  }
  const resolutions = state.resolutions.delete(id);
  const forwards = state.forwards.set(id, call);
  return step({ ...state, resolutions, forwards }, { type: 'forward', vm: claimer, call });
}
