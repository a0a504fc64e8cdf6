/** Reads the JSON body of an exchange, or refuses the exchange. */

import type { Exchange } from './exchange';
import { readTextBody } from './readTextBody';
import { refuseExchange } from './refuseExchange';

/**
 * Reads a body as JSON.
 *
 * @param exchange the HTTP exchange
 * @returns the decoded value, or undefined if the exchange was refused or the caller disconnected
 */
export async function readJsonBody(exchange: Exchange): Promise<unknown> {
  const text = await readTextBody(exchange);
  if (text === undefined) return undefined;
  try {
    return JSON.parse(text) as unknown;
  } catch (error) {
    refuseExchange(exchange, 'invalid-request', `the body is not JSON: ${String(error)}`);
    return undefined;
  }
}
