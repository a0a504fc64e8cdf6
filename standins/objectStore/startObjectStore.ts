/** A stand-in for the platform's object store; docs/CONTRACTS.md specifies its paths. */

import { withFaults } from '../http/faults';
import { startServer, type Handler, type Server } from '../http/startServer';

export interface ObjectStoreOptions {
  readonly host?: string;
  readonly port?: number;
}

const PREFIX = '/v1/objects/';

/**
 * Starts an empty object store.
 *
 * @param options the listen address
 */
export function startObjectStore(options: ObjectStoreOptions = {}): Promise<Server> {
  const objects = new Map<string, Buffer>();
  const handler: Handler = ({ method, path, body, response }) => {
    if (!path.startsWith(PREFIX)) return { status: 404 };
    const name = path.slice(PREFIX.length);
    if (method === 'PUT') {
      objects.set(name, body);
      return { status: 200, body: {} };
    }
    const found = objects.get(name);
    if (found === undefined) return { status: 404 };
    response.writeHead(200, { 'content-type': 'application/octet-stream' });
    response.end(found);
    return undefined;
  };
  return startServer({ ...options, handler: withFaults(handler) });
}
