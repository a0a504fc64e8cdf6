/** Opens the listeners for readiness, the directory of VMs and metrics. */

import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { GatewayMetrics } from './createGatewayMetrics';
import type { GatewayPlatform } from './gatewayPlatform';
import type { GatewaySettings } from './gatewaySettings';
import { listen } from './listen';

export interface AuxiliaryListenerOptions {
  readonly listen: GatewaySettings['listen'];
  readonly platform: GatewayPlatform;
  readonly metrics: GatewayMetrics;
  readonly isReady: () => boolean;
  readonly addressesFor: (failureDomain: string | undefined) => readonly string[];
  /** Validity of an address answer, milliseconds. */
  readonly validMs: () => number;
  /** Called with a message for each error of a listener. */
  readonly onListenFailure: (message: string) => void;
}

/** Opens one listener for each distinct address; every listener serves all paths. */
export function openAuxiliaryListeners(options: AuxiliaryListenerOptions): readonly Server[] {
  const { platform, metrics, isReady, addressesFor, validMs } = options;
  const { readiness, directory, metrics: metricsAddress } = options.listen;
  const respond = (request: IncomingMessage, response: ServerResponse): void => {
    const path = request.url ?? '/';
    const { 'content-length': length, 'transfer-encoding': coding } = request.headers;
    // Node.js reads a body to its end, however long, on a connection that stays open.
    if (length !== undefined || coding !== undefined) response.setHeader('connection', 'close');
    const query = platform.readAddressQuery(path);
    if (query !== undefined) {
      const addresses = addressesFor(query.failureDomain);
      const isKnown = addresses.length > 0;
      response.writeHead(isKnown ? 200 : 503, { 'content-type': 'application/json' });
      response.end(isKnown ? platform.encodeAddresses(addresses, validMs()) : '{}');
    } else if (platform.isReadinessPath(path)) {
      response.writeHead(isReady() ? 200 : 503);
      response.end();
    } else if (path.startsWith('/metrics')) {
      metrics.text().then(
        (text) => {
          response.writeHead(200, { 'content-type': metrics.contentType });
          response.end(text);
        },
        (error: unknown) => {
          response.writeHead(500);
          response.end(String(error));
        },
      );
    } else {
      response.writeHead(404);
      response.end();
    }
  };
  return [...new Set([readiness, directory, metricsAddress])].map((address) => {
    const server = createServer(respond);
    listen(server, address, { onFailure: options.onListenFailure });
    return server;
  });
}
