/** Answers a request with a refusal by the gateway itself. */

import type { ServerResponse } from 'node:http';
import type { BackendProtocol } from '../../gateway/backendProtocol';

/** Why the gateway refuses a request. */
export type RefusalReason =
  | 'not-run'
  | 'held-back'
  /** This VM cannot serve a request that another VM sent; the other may ask a third. */
  | 'elsewhere'
  | 'expired-not-run'
  | 'expired'
  | 'unknown-outcome'
  | 'no-route'
  | 'no-credential'
  | 'too-large'
  | 'too-slow'
  | 'malformed';

/** 408 and 503 guarantee that the request has not run and will not; 502 and 504 guarantee nothing. */
const STATUS: Readonly<Record<RefusalReason, number>> = {
  'not-run': 503,
  'held-back': 503,
  elsewhere: 503,
  'expired-not-run': 503,
  expired: 504,
  'unknown-outcome': 502,
  'no-route': 404,
  'no-credential': 401,
  'too-large': 413,
  'too-slow': 408,
  malformed: 400,
};

export interface RefusalOptions {
  readonly retryAfterMs?: number | undefined;
  /** Closes the connection, so that it carries no other request. */
  readonly isLast?: boolean;
  /** Sends the whole refusal but does not end the response; the caller of the function does. */
  readonly keepsOpen?: boolean;
}

/**
 * Sends the refusal, or closes the connection if a response has already begun.
 *
 * @param response the caller's response
 * @param reason why the request is refused
 * @param protocol creates the headers of the refusal
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
  const { retryAfterMs, isLast = false, keepsOpen = false } = options;
  const body = JSON.stringify({ error: reason });
  response.writeHead(STATUS[reason], {
    ...protocol.refusalHeaders(retryAfterMs),
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
    ...(isLast ? { connection: 'close' } : {}),
  });
  if (keepsOpen) response.write(body);
  else response.end(body);
}
