/** Passes a caller's call to a plain service to the operations component. */

import type { PlainCall } from '../operations/operationMessage';
import type { WorkspaceId } from '../workspaces/workspace';
import type { Exchange } from './exchange';
import { readTextBody } from './readTextBody';
import { sendCallResult } from './sendCallResult';

/**
 * Handles one exchange under `/v1/services/{service}/`.
 *
 * @param exchange the HTTP exchange, with the service and the remaining path captured
 * @param workspace the caller's workspace
 */
export async function handlePlainCall(exchange: Exchange, workspace: WorkspaceId): Promise<void> {
  const { request, host, url, captured } = exchange;
  const body = await readTextBody(exchange);
  if (body === undefined) return;
  const [service = '', rest = ''] = captured;
  const key = request.headers['idempotency-key'];
  const call: PlainCall = {
    call: host.createId(),
    workspace,
    service: decodeURIComponent(service),
    method: request.method ?? 'GET',
    path: `/${rest}${url.search}`,
    body,
    contentType: request.headers['content-type'] ?? '',
    ...(typeof key === 'string' && key !== '' ? { operation: key } : {}),
  };
  const result = host.waiting.calls.wait(call.call);
  host.send({ side: 'operations', event: { type: 'call-received', call } });
  sendCallResult(exchange.response, await result);
}
