/**
 * Refuses requests that a VM has no processor time for, with as little work as possible: where several times the callers
 * come that it can serve, the refusals alone may take all of it. Nothing of a request is looked at but its framing, and a
 * small body is left to the runtime, which discards it.
 */

import type { IncomingMessage, ServerResponse } from 'node:http';
import type { GatewayHost } from '../../gateway/job';
import { createRefusalSample } from '../../overload/createRefusalSample';
import { refuseJob } from '../gateway/refuseJob';
import { refuseRequest } from '../intake/refuseRequest';

/** @param retryAfterMs time after which the caller may come back, milliseconds */
export type OverloadRefusal = (
  request: IncomingMessage,
  response: ServerResponse,
  retryAfterMs: number,
) => void;

/** Largest body that the runtime may discard: that of usual requests, which comes with the head. */
const MAX_IGNORED_BYTES = 16 * 1024;

export function createOverloadRefusal(
  host: Pick<GatewayHost, 'protocol' | 'now' | 'log' | 'count'>,
): OverloadRefusal {
  const { protocol } = host;
  const sample = createRefusalSample(host.now);
  return (request, response, retryAfterMs) => {
    host.count('refusals', 'overload');
    const unlogged = sample.take();
    if (unlogged !== undefined) {
      const { id } = protocol.readRequest(request.headers);
      host.log('request refused', { id, reason: 'overload', retryAfterMs, unlogged });
    }
    const { 'content-length': length, 'transfer-encoding': coding } = request.headers;
    if (coding !== undefined || Number(length ?? 0) > MAX_IGNORED_BYTES)
      // Once its answer has ended, the runtime would read such a body to its end.
      refuseRequest(request, response, { reason: 'not-run', protocol, retryAfterMs, isLast: true });
    else refuseJob(response, 'not-run', protocol, { retryAfterMs });
  };
}
