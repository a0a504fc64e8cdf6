/** Sends one small JSON request and reads the reply, by default on a new connection. */

import { Agent, request as sendRequest } from 'node:http';
import type { IncomingHttpHeaders } from 'node:http';
import { createByteBudget } from '../../gateway/createByteBudget';
import { createByteBuffer } from '../../gateway/createByteBuffer';
import type { ReplyMemory } from '../../replies/createReplyMemory';
import { limitReplyHead } from './limitReplyHead';

export interface JsonRequest {
  readonly address: string;
  readonly method: string;
  readonly path: string;
  readonly body?: string;
  readonly timeoutMs: number;
  /** Largest body of an answer. */
  readonly maxBytes?: number;
  /** Memory of all replies of the VM; without it, the reply counts for itself. */
  readonly memory?: ReplyMemory | undefined;
  /** Reuses connections between calls; without it, each call opens its own. */
  readonly agent?: Agent;
}

export type JsonResult =
  | {
      readonly type: 'answered';
      readonly status: number;
      readonly headers: IncomingHttpHeaders;
      readonly body: unknown;
    }
  /** The connection was refused or reset, or the answer was broken or over its bound. */
  | { readonly type: 'refused'; readonly detail: string }
  /** No answer before the timeout. */
  | { readonly type: 'silent' };

/** Several times a page of 1 MB, as the changes since a version have no stated bound. */
const DEFAULT_MAX_BYTES = 8 * 1024 * 1024;

/** Lowest status of a final answer. */
const FIRST_FINAL_STATUS = 200;

const ownConnection = new Agent({ keepAlive: false });

/** Resolves with the result; a body that is not JSON is undefined. */
export function exchangeJson(options: JsonRequest): Promise<JsonResult> {
  const { address, method, path, body, timeoutMs, agent = ownConnection } = options;
  const { maxBytes = DEFAULT_MAX_BYTES, memory } = options;
  const [host, port] = address.split(':');
  return new Promise((resolve) => {
    const outgoing = sendRequest({
      agent,
      host,
      port: Number(port),
      method,
      path,
      headers:
        body === undefined
          ? {}
          : { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) },
    });
    const timer = setTimeout(() => {
      resolve({ type: 'silent' });
      outgoing.destroy();
    }, timeoutMs);
    const fail = (detail: string): void => {
      clearTimeout(timer);
      resolve({ type: 'refused', detail });
    };
    const failWith = (error: Error): void => {
      fail(error.message);
    };
    outgoing.on('error', failWith);
    limitReplyHead(outgoing, () => {
      fail('head too large');
    });
    outgoing.on('response', (reply) => {
      const status = reply.statusCode ?? 0;
      const budget = createByteBudget(maxBytes);
      const content = createByteBuffer();
      const hold = memory?.open(() => {
        fail('no memory');
        outgoing.destroy();
      });
      outgoing.once('close', () => hold?.release());
      reply.on('error', failWith);
      if (status < FIRST_FINAL_STATUS) {
        fail(`status ${status}`);
        outgoing.destroy();
        return;
      }
      reply.on('data', (chunk: Buffer) => {
        if (!budget.trySpend(chunk.length)) {
          fail('body too large');
          outgoing.destroy();
          return;
        }
        hold?.keep(content.length() + chunk.length);
        if (!outgoing.destroyed) content.append(chunk);
      });
      reply.on('close', () => {
        fail('closed');
      });
      reply.on('end', () => {
        if (!reply.complete) fail('ended early');
        else {
          clearTimeout(timer);
          const parsed = parseJson(content.bytes().toString('utf8'));
          resolve({ type: 'answered', status, headers: reply.headers, body: parsed });
        }
      });
    });
    outgoing.end(body);
  });
}

function parseJson(content: string): unknown {
  try {
    return JSON.parse(content);
  } catch {
    // Callers evaluate only the status of a reply without a JSON body.
    return undefined;
  }
}
