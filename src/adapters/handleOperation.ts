/** Answers a caller who asks what became of an operation. */

import type { WorkspaceId } from '../workspaces/workspace';
import type { Exchange } from './exchange';
import { sendCallResult } from './sendCallResult';

/**
 * Handles `GET /v1/operations/{id}`; the id may hold a slash.
 *
 * @param exchange the exchange; it captured the id
 * @param workspace whose caller it is
 */
export async function handleOperation(exchange: Exchange, workspace: WorkspaceId): Promise<void> {
  const { host, captured, response } = exchange;
  const call = host.createId();
  const operation = decodeURIComponent(captured[0] ?? '');
  const result = host.waiting.calls.wait(call);
  host.send({ side: 'operations', event: { type: 'operation-asked', call, workspace, operation } });
  sendCallResult(response, await result);
}
