/** Sends one try of an idempotent call. */

import type { BackendServerId } from '../backendServers/backendServer';
import { callBackend } from './callBackend';
import type { Lookup, OperationsState } from './operationsState';
import type { OperationsStep } from './step';

/** Sends the call to the server with the remaining time of the call as its time limit. */
export function sendLookup(
  state: OperationsState,
  lookup: Lookup,
  server: BackendServerId,
  atMs: number,
): OperationsStep {
  const { call, contract } = lookup;
  const tried = [...lookup.tried, server];
  const sent = { ...lookup, tried, pending: lookup.pending + 1 };
  const next = { ...state, lookups: state.lookups.set(call.call, sent) };
  const leftMs = contract.timeoutMs - (atMs - lookup.startedAtMs);
  const dispatch = { type: 'lookup', call: call.call, server, startedAtMs: atMs } as const;
  return callBackend(next, dispatch, {
    method: call.method,
    path: call.path,
    body: call.body,
    contentType: call.contentType,
    timeoutMs: Math.max(1, leftMs),
  });
}
