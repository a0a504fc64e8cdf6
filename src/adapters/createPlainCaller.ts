/** HTTP client for plain services. */

import type { Dispatcher } from 'undici';
import type { CallFailure, OperationEffect, PlainAnswer } from '../operations/operationMessage';
import { classifyConnectionFailure } from './classifyConnectionFailure';
import { MAX_ANSWER_BYTES } from './constants';
import { formatError } from './formatError';
import { formatOrigin } from './formatOrigin';

export type PlainCallResult =
  | { readonly type: 'answered'; readonly answer: PlainAnswer; readonly notRun: boolean }
  | { readonly type: 'failed'; readonly failure: CallFailure; readonly detail: string };

type BackendCall = Extract<OperationEffect, { readonly type: 'call-backend' }>;

export type PlainCaller = (call: BackendCall) => Promise<PlainCallResult>;

/**
 * Creates a client that serves all plain services. It never repeats a call.
 *
 * @param dispatcher the HTTP client
 */
export function createPlainCaller(dispatcher: Dispatcher): PlainCaller {
  return async (call) => {
    try {
      const reply = await dispatcher.request({
        origin: formatOrigin(call.address),
        path: call.path,
        method: call.method,
        headers: createHeaders(call),
        body: call.body === '' ? null : call.body,
        signal: AbortSignal.timeout(call.timeoutMs),
      });
      const body = await readResponseBody(reply.body);
      const status = reply.statusCode;
      const contentType = String(reply.headers['content-type'] ?? 'application/octet-stream');
      const notRun = status === 503 && reply.headers['not-run'] === 'true';
      return { type: 'answered', answer: { status, contentType, body }, notRun };
    } catch (error) {
      return {
        type: 'failed',
        failure: classifyConnectionFailure(error),
        detail: formatError(error),
      };
    }
  };
}

function createHeaders({ contentType, key }: BackendCall): Record<string, string> {
  return {
    ...(contentType === '' ? {} : { 'content-type': contentType }),
    ...(key === undefined ? {} : { 'idempotency-key': key }),
  };
}

async function readResponseBody(body: AsyncIterable<unknown>): Promise<string> {
  const chunks: Uint8Array[] = [];
  let size = 0;
  for await (const chunk of body) {
    const bytes = chunk as Uint8Array;
    size += bytes.byteLength;
    if (size > MAX_ANSWER_BYTES) throw new RangeError(`Answer over ${MAX_ANSWER_BYTES} bytes`);
    chunks.push(bytes);
  }
  return Buffer.concat(chunks).toString('utf8');
}
