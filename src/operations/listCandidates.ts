/** Lists the backend servers of a service that may receive new work from this VM. */

import type { Candidate } from '../backendServers/chooseServer';
import type { BackendServerId } from '../backendServers/backendServer';
import type { PlainService } from '../services/service';
import { isUsable } from './isUsable';
import type { OperationsState } from './operationsState';

/**
 * Excludes servers that the configuration retires, that the fleet reports as unusable, and those
 * without any report.
 *
 * @param except servers that were tried already
 */
export function listCandidates(
  state: OperationsState,
  service: PlainService,
  except: readonly BackendServerId[] = [],
): readonly Candidate[] {
  return service.backendServers
    .filter((server) => !except.includes(server) && isUsable(state, server))
    .map((server) => ({
      server,
      weight: Math.max(state.health.get(server)?.weight ?? 0, Number.EPSILON),
      inFlight: state.inFlight.get(server, 0),
    }));
}
