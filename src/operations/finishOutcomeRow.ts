/** What the row of a caller's own key tells about its outcome. */

import type { ReadResult } from '../contracts/table';
import type { CallId } from '../decisions/primitive';
import { askStatus } from './askStatus';
import type { OperationsState } from './operationsState';
import { parseRow } from './parseRow';
import { claimRowSchema, type ClaimRow } from './recordedResult';
import { settleResolution } from './settleResolution';
import { step, type OperationsStep } from './step';

/** Answers with a recorded result, else asks the backend servers. */
export function finishOutcomeRow(
  state: OperationsState,
  call: CallId,
  result: ReadResult,
): OperationsStep {
  const row = result.type === 'rows' ? result.rows[0] : undefined;
  const value = row && parseRow(row, claimRowSchema);
  if (value?.state === 'done') {
    return settleResolution(state, call, value.fingerprint, value.result);
  }
  return askClaimer(state, call, value) ?? askStatus(state, call);
}

/** A caller who only asks for the outcome hears it from the claimer, where it lives. */
function askClaimer(
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
