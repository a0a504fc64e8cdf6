/** The demo's HTTP, towards daemons and stand-ins alike. */

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

/** Longest wait for an answer where a call names none, milliseconds. */
const CALL_TIMEOUT_MS = 8000;

/**
 * Makes one call with JSON on both ways.
 *
 * @param url where to
 * @param options method, bearer token, idempotency key, body and time limit
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
