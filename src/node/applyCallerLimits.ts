/** Applies the catalog's limits to the server that callers connect to. */

import type { Server } from 'node:http';
import type { Catalog } from '../catalog/catalog';

export function applyCallerLimits(server: Server, { limits }: Pick<Catalog, 'limits'>): void {
  server.keepAliveTimeout = limits.idleTimeoutMs;
  server.headersTimeout = limits.headerTimeoutMs;
}
