/** Ends a request with an answer of the gateway's own. */

import type { ServerResponse } from 'node:http';
import type { BackendProtocol } from '../../gateway/backendProtocol';

/** Why the gateway answers itself, and the status that says so. */
export type RefusalReason =
  | 'not-run'
  | 'expired-not-run'
  | 'expired'
  | 'unknown-outcome'
  | 'no-route'
  | 'no-credential'
  | 'too-large'
  | 'malformed';

/** 503 promises that the request has not run and will not; 502 and 504 promise nothing. */
const STATUS: Readonly<Record<RefusalReason, number>> = {
  'not-run': 503,
  'expired-not-run': 503,
  expired: 504,
  'unknown-outcome': 502,
  'no-route': 404,
  'no-credential': 401,
  'too-large': 413,
  malformed: 400,
};

export interface RefusalOptions {
  readonly retryAfterMs?: number | undefined;
  /** The connection must not carry another request. */
  readonly isLast?: boolean;
}

/**
 * Sends the refusal, or closes the connection where an answer has begun already.
 *
 * @param response the caller's response
 * @param reason why
 * @param protocol names the headers
 */
export function refuseJob(
  response: ServerResponse,
  reason: RefusalReason,
  protocol: BackendProtocol,
  options: RefusalOptions = {},
): void {
  if (response.headersSent) {
    response.destroy();
    return;
  }
  const { retryAfterMs, isLast = false } = options;
  const body = JSON.stringify({ error: reason });
  response.writeHead(STATUS[reason], {
    ...protocol.refusalHeaders(retryAfterMs),
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
    ...(isLast ? { connection: 'close' } : {}),
  });
  response.end(body);
}
