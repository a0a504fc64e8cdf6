/** HTTP client for calls to daemons and stand-ins. */

import { request } from 'undici';

export interface Reply {
  readonly status: number;
  readonly body: unknown;
}

export interface CallOptions {
  readonly method?: 'GET' | 'POST';
  readonly token?: string;
  readonly key?: string;
  readonly body?: unknown;
  readonly timeoutMs?: number;
}

/** Default timeout of a call, milliseconds. */
const CALL_TIMEOUT_MS = 8000;

/**
 * Sends one call with JSON bodies both ways.
 *
 * @param url the target
 * @param options method, bearer token, idempotency key, body and timeout
 */
export async function callJson(url: string, options: CallOptions = {}): Promise<Reply> {
  const { method = 'GET', token, key, body, timeoutMs = CALL_TIMEOUT_MS } = options;
  const reply = await request(url, {
    method,
    headers: {
      'content-type': 'application/json',
      ...(token === undefined ? {} : { authorization: `Bearer ${token}` }),
      ...(key === undefined ? {} : { 'idempotency-key': key }),
    },
    body: body === undefined ? null : JSON.stringify(body),
    signal: AbortSignal.timeout(timeoutMs),
  });
  const text = await reply.body.text();
  return {
    status: reply.statusCode,
    body: text === '' ? undefined : (JSON.parse(text) as unknown),
  };
}
