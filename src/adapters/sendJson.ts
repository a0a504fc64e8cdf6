/** Sends a JSON answer. */

import type { ServerResponse } from 'node:http';

/**
 * Answers with JSON.
 *
 * @param response nothing has been sent on it yet
 * @param status HTTP status
 * @param body JSON-ready
 */
export function sendJson(response: ServerResponse, status: number, body: unknown): void {
  if (response.headersSent || response.destroyed) return;
  response.writeHead(status, { 'content-type': 'application/json', 'cache-control': 'no-store' });
  response.end(JSON.stringify(body));
}
