/** Whether this VM may give a backend server new work. */

import type { BackendServerId } from '../backendServers/backendServer';
import type { OperationsState } from './operationsState';

/** @returns false where it is unknown, is leaving, no fresh word of it has come, or this VM was paused */
export function isUsable(state: OperationsState, server: BackendServerId): boolean {
  if (state.doubtsUntilMs !== undefined) return false;
  const known = state.configuration.backendServer.get(server);
  if (known === undefined || known.leaving) return false;
  return state.health.get(server)?.isUsable ?? false;
}
