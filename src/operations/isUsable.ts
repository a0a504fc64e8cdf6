/** Decides whether this VM may send new work to a backend server. */

import type { BackendServerId } from '../backendServers/backendServer';
import type { OperationsState } from './operationsState';

/** @returns false if the server is unknown, leaving or without a usable report, or this VM was paused */
export function isUsable(state: OperationsState, server: BackendServerId): boolean {
  if (state.recoversAtMs !== undefined) return false;
  const known = state.configuration.backendServer.get(server);
  if (known === undefined || known.leaving) return false;
  return state.health.get(server)?.isUsable ?? false;
}
