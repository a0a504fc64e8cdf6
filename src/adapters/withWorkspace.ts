/** Restricts a handler to callers with a workspace's bearer token, within the VM's request limit. */

import type { WorkspaceId } from '../workspaces/workspace';
import { FULL_VM_RETRY_AFTER_MS } from './constants';
import type { Exchange, ExchangeHandler } from './exchange';
import { findWorkspace } from './findWorkspace';
import { readBearer } from './readBearer';
import { refuseExchange } from './refuseExchange';

/**
 * Wraps a handler with caller authentication and the limit on concurrent requests.
 *
 * @param handle the handler for authenticated callers
 */
export function withWorkspace(
  handle: (exchange: Exchange, workspace: WorkspaceId) => Promise<void> | void,
): ExchangeHandler {
  return (exchange) => {
    const { request, host } = exchange;
    const token = readBearer(request);
    const workspaces = host.configuration().workspace;
    const workspace = token === undefined ? undefined : findWorkspace(workspaces, token);
    if (workspace === undefined) {
      refuseExchange(exchange, 'unauthenticated', 'no workspace has this bearer token');
      return undefined;
    }
    const { streams, calls } = host.waiting;
    if (streams.size + calls.size() >= host.limits.concurrentRequests) {
      refuseExchange(
        exchange,
        'vm-full',
        'this VM runs all it may at once',
        FULL_VM_RETRY_AFTER_MS,
      );
      return undefined;
    }
    return handle(exchange, workspace);
  };
}
