/** Reads the bearer token of a request. */

import type { IncomingMessage } from 'node:http';

const BEARER = /^Bearer +(\S+)$/i;

/**
 * Reads the bearer token from the Authorization header.
 *
 * @param request the incoming request
 * @returns the token, or undefined if there is none
 */
export function readBearer({ headers }: IncomingMessage): string | undefined {
  return BEARER.exec(headers.authorization ?? '')?.[1];
}
