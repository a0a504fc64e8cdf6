/** The bearer token of a request. */

import type { IncomingMessage } from 'node:http';

const BEARER = /^Bearer +(\S+)$/i;

/**
 * Reads the token of the Authorization header.
 *
 * @param request the request
 * @returns the token, or undefined where there is none
 */
export function readBearer({ headers }: IncomingMessage): string | undefined {
  return BEARER.exec(headers.authorization ?? '')?.[1];
}
