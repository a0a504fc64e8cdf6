/**
 * Searches for the outcome of an operation whose owner or claimer can't answer: first in the table, then
 * in the status look-ups of the backend servers. If neither knows it, the outcome is `unknown`. The
 * search never runs an operation.
 */

import { callTable } from './callTable';
import { countRunning } from './countRunning';
import { findMethod } from './findMethod';
import { isUsable } from './isUsable';
import { formatChunkPrefix } from './formatChunkPrefix';
import { formatOperationKey } from './formatOperationKey';
import type { PlainCall } from './operationMessage';
import { CLAIM_TABLE, MAX_STATUS_SERVERS } from './operationLimits';
import type { OperationsState, Resolution } from './operationsState';
import { parseOperationId } from './parseOperationId';
import { refuseCall } from './refuseCall';
import { joinScan } from './joinScan';
import type { OperationsStep } from './step';

/**
 * Starts the search.
 *
 * @param reason why the search is needed; the refusal carries it if nothing is found
 */
export function resolveOutcome(
  state: OperationsState,
  call: PlainCall,
  reason: string,
): OperationsStep {
  if (countRunning(state) >= state.options.maxRunning) {
    const detail = 'It may have run; this VM has no room to find out now, ask again later';
    return refuseCall(state, call.call, { outcome: 'unknown', reason: 'overloaded', detail });
  }
  const resolution = createResolution(state, call, reason);
  const next = { ...state, resolutions: state.resolutions.set(call.call, resolution) };
  const id = parseOperationId(call.operation ?? '', state.options.ticketKeys);
  if (id.type === 'ticketed') {
    return joinScan(next, formatChunkPrefix(id.ticket.vm, id.ticket.incarnation), call.call);
  }
  const keys = [formatOperationKey(call.workspace, call.operation ?? '')];
  const tableCall = { type: 'outcome-row', call: call.call } as const;
  return callTable(next, tableCall, { type: 'read-rows', table: CLAIM_TABLE, keys });
}

function createResolution(state: OperationsState, call: PlainCall, reason: string): Resolution {
  const found = findMethod(state.configuration, call);
  if (found.type === 'missing') return { call, contract: undefined, servers: [], reason };
  const { contract, service } = found;
  if (contract.statusPath === undefined) return { call, contract, servers: [], reason };
  const usable = service.backendServers.filter((server) => isUsable(state, server));
  return { call, contract, servers: usable.slice(0, MAX_STATUS_SERVERS), reason };
}
