/** The HTTP routes for metrics, liveness and readiness. */

import type { Route } from './route';
import { sendJson } from './sendJson';

/** Routes that require no authentication. */
export const statusRoutes: readonly Route[] = [
  {
    method: 'GET',
    path: /^\/metrics$/,
    handle: async ({ host, response }) => {
      const { contentType, text } = await host.metrics();
      response.writeHead(200, { 'content-type': contentType });
      response.end(text);
    },
  },
  {
    method: 'GET',
    path: /^\/livez$/,
    handle: ({ response }) => {
      sendJson(response, 200, { live: true });
    },
  },
  {
    method: 'GET',
    path: /^\/readyz$/,
    handle: ({ host, response }) => {
      const { isReady, reason } = host.readiness();
      sendJson(response, isReady ? 200 : 503, { ready: isReady, reason });
    },
  },
];
