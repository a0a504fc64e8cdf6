/** The HTTP routes for callers. */

import { handleAddresses } from './handleAddresses';
import { handleCompletion } from './handleCompletion';
import { handleOperation } from './handleOperation';
import { handlePlainCall } from './handlePlainCall';
import type { Route } from './route';
import { withWorkspace } from './withWorkspace';

/** Routes in order; the first match wins. */
export const callerRoutes: readonly Route[] = [
  {
    method: 'POST',
    path: /^\/v1\/completions$/,
    handle: withWorkspace((exchange, workspace) =>
      handleCompletion('completion', exchange, workspace),
    ),
  },
  {
    method: 'POST',
    path: /^\/v1\/chat\/completions$/,
    handle: withWorkspace((exchange, workspace) => handleCompletion('chat', exchange, workspace)),
  },
  { method: 'GET', path: /^\/v1\/addresses$/, handle: withWorkspace(handleAddresses) },
  { method: 'GET', path: /^\/v1\/operations\/(.+)$/, handle: withWorkspace(handleOperation) },
  { method: '*', path: /^\/v1\/services\/([^/]+)\/(.*)$/, handle: withWorkspace(handlePlainCall) },
];
