/** Creates a server for requests that are forwarded unchanged. */

import { createServer } from 'node:http';
import type { RequestListener, Server } from 'node:http';

/** Idle timeout of callers' connections until the catalog sets another, milliseconds. */
const DEFAULT_IDLE_TIMEOUT_MS = 15_000;

export function createCallerServer(listener: RequestListener): Server {
  const server = createServer({ keepAliveTimeout: DEFAULT_IDLE_TIMEOUT_MS }, listener);
  // Node.js drops the fields beyond 2,000 without an error; the size of the head is bounded as well.
  server.maxHeadersCount = 0;
  return server;
}
