/** Names the stages that may have stalled a stream. */

import type { BackendServerId } from '../backendServers/backendServer';
import type { Router } from './router';
import type { RunningRequest } from './runningRequest';

/**
 * An engine that lately brought a token of any other stream is not stalled, whatever this stream
 * waits for.
 *
 * @param router the router
 * @param running the request whose stream is silent
 * @param silenceMs silence that counts as a stall
 * @param atMs now
 * @returns engines of the route that were silent that long, the most silent first
 */
export function findSilentStages(
  router: Router,
  running: RunningRequest,
  silenceMs: number,
  atMs: number,
): readonly BackendServerId[] {
  const servedAt = (engine: BackendServerId): number => router.engines.get(engine)?.servedAtMs ?? 0;
  const engines = running.route.map((stage) => stage.engine);
  const silent = engines.filter((engine) => atMs - servedAt(engine) >= silenceMs);
  return silent.sort((a, b) => servedAt(a) - servedAt(b));
}
