/** Computes for how long no backend server of a service takes a request, by what the servers have announced. */

import type { ListedServer } from '../chains/layerEngine';
import type { ServerRegistry } from './serverRegistry';

/** @returns milliseconds; 0 if the service has no server for requests, or one takes them */
export function computeServiceWaitTime(
  { servers, quietMs, limitWaitMs }: Pick<ServerRegistry, 'servers' | 'quietMs' | 'limitWaitMs'>,
  service: string,
): number {
  const times = servers(service)
    .filter((server) => !server.isDraining && canReceive(server))
    .map(({ id }) => Math.max(quietMs(id), limitWaitMs(id, 'request')));
  return times.length === 0 ? 0 : Math.min(...times);
}

/** Whether requests are sent to the server itself: a plain server, or an engine with the first layers. */
function canReceive({ kind, layers }: ListedServer): boolean {
  return kind === undefined || layers?.from === 0;
}
