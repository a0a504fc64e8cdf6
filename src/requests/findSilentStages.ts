/** Finds the engines of a route that may have stalled a stream. */

import type { BackendServerId } from '../backendServers/backendServer';
import type { Router } from './router';
import type { RunningRequest } from './runningRequest';

/**
 * An engine that recently produced a token of any stream is not stalled, even if this stream is.
 *
 * @param router the router
 * @param running the request whose stream is silent
 * @param silenceMs minimum silence that counts as a stall, milliseconds
 * @param atMs the current time
 * @returns engines of the route that were silent at least that long, the longest silent first
 */
export function findSilentStages(
  router: Router,
  running: RunningRequest,
  silenceMs: number,
  atMs: number,
): readonly BackendServerId[] {
  const getServedAtMs = (engine: BackendServerId): number =>
    router.engineLoads.get(engine)?.servedAtMs ?? 0;
  const engines = running.route.map((stage) => stage.engine);
  const silent = engines.filter((engine) => atMs - getServedAtMs(engine) >= silenceMs);
  return silent.sort((a, b) => getServedAtMs(a) - getServedAtMs(b));
}
