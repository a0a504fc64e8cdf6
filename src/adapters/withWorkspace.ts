/** Lets only callers with a workspace's bearer token pass. */

import type { WorkspaceId } from '../workspaces/workspace';
import { FULL_VM_RETRY_MS } from './constants';
import type { Exchange, ExchangeHandler } from './exchange';
import { findWorkspace } from './findWorkspace';
import { readBearer } from './readBearer';
import { refuseExchange } from './refuseExchange';

/**
 * Puts the caller's workspace before a handler.
 *
 * @param handle what is done for callers of a workspace
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
      refuseExchange(exchange, 'vm-full', 'this VM runs all it may at once', FULL_VM_RETRY_MS);
      return undefined;
    }
    return handle(exchange, workspace);
  };
}
