/** Reads the text body of an exchange, or refuses the exchange. */

import type { Exchange } from './exchange';
import { readBody } from './readBody';
import { refuseExchange } from './refuseExchange';

/**
 * Reads a body as text.
 *
 * @param exchange the HTTP exchange
 * @returns the text, or undefined if the exchange was refused or the caller disconnected
 */
export async function readTextBody(exchange: Exchange): Promise<string | undefined> {
  const maxBytes = exchange.host.limits.bodyBytes;
  const body = await readBody(exchange.request, maxBytes);
  if (body.type === 'read') return body.text;
  if (body.type === 'too-large') {
    exchange.response.setHeader('connection', 'close');
    refuseExchange(exchange, 'body-too-large', `a body has at most ${maxBytes} bytes`);
  }
  if (body.type === 'not-text') {
    refuseExchange(exchange, 'invalid-request', 'the body is not UTF-8 text');
  }
  return undefined;
}
