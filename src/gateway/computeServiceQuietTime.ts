/** Computes for how long no backend server of a service wants requests. */

import type { ServerRegistry } from './serverRegistry';

/** @returns milliseconds; 0 if the service has no servers or one of them takes requests */
export function computeServiceQuietTime(
  { servers, quietMs }: Pick<ServerRegistry, 'servers' | 'quietMs'>,
  service: string,
): number {
  const times = servers(service).flatMap(({ id, isDraining }) => (isDraining ? [] : quietMs(id)));
  return times.length === 0 ? 0 : Math.min(...times);
}
