/** Sends a caller the outcome of an operation. */

import type { WorkspaceId } from '../workspaces/workspace';
import type { Exchange } from './exchange';
import { sendCallResult } from './sendCallResult';

/**
 * Handles `GET /v1/operations/{id}`; the id may contain a slash.
 *
 * @param exchange the HTTP exchange, with the id captured from the path
 * @param workspace the caller's workspace
 */
export async function handleOperation(exchange: Exchange, workspace: WorkspaceId): Promise<void> {
  const { host, captured, response } = exchange;
  const call = host.createId();
  const operation = decodeURIComponent(captured[0] ?? '');
  const result = host.waiting.calls.wait(call);
  host.send({ side: 'operations', event: { type: 'operation-asked', call, workspace, operation } });
  sendCallResult(response, await result);
}
