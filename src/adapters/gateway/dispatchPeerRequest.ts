/** Handles what other VMs send over HTTP: callers' requests that they forward, and questions for tables. */

import type { RequestListener } from 'node:http';
import { FORWARDED_HEADER } from '../../gateway/forwardedRequest';
import type { Gateway } from './createGateway';
import type { TableRelay } from './createTableRelay';

/** @returns the handler of a listener that only other VMs reach */
export function dispatchPeerRequest(
  gateway: Pick<Gateway, 'handleForwarded'>,
  relay: Pick<TableRelay, 'handle'>,
): RequestListener {
  return (request, response) => {
    if (request.headers[FORWARDED_HEADER] === undefined) relay.handle(request, response);
    else gateway.handleForwarded(request, response);
  };
}
