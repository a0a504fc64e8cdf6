/** Sends a JSON response. */

import type { ServerResponse } from 'node:http';

/**
 * Sends a JSON response.
 *
 * @param response an HTTP response that has not started; otherwise nothing is sent
 * @param status the HTTP status
 * @param body a value that can be serialized as JSON
 */
export function sendJson(response: ServerResponse, status: number, body: unknown): void {
  if (response.headersSent || response.destroyed) return;
  response.writeHead(status, { 'content-type': 'application/json', 'cache-control': 'no-store' });
  response.end(JSON.stringify(body));
}
