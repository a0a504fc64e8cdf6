/** Sends one small JSON request and reads the reply, by default on a new connection. */

import { Agent, request as sendRequest } from 'node:http';
import type { IncomingHttpHeaders } from 'node:http';

export interface JsonRequest {
  readonly address: string;
  readonly method: string;
  readonly path: string;
  readonly body?: string;
  readonly timeoutMs: number;
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
  /** The connection was refused or reset. */
  | { readonly type: 'refused' }
  /** No answer before the timeout. */
  | { readonly type: 'silent' };

const ownConnection = new Agent({ keepAlive: false });

/** Resolves with the result; a body that is not JSON is undefined. */
export function exchangeJson(options: JsonRequest): Promise<JsonResult> {
  const { address, method, path, body, timeoutMs, agent = ownConnection } = options;
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
    const fail = (): void => {
      clearTimeout(timer);
      resolve({ type: 'refused' });
    };
    outgoing.on('error', fail);
    outgoing.on('response', (reply) => {
      const chunks: Buffer[] = [];
      reply.on('data', (chunk: Buffer) => chunks.push(chunk));
      reply.on('error', fail);
      reply.on('close', fail);
      reply.on('end', () => {
        clearTimeout(timer);
        if (!reply.complete) resolve({ type: 'refused' });
        else {
          const parsed = parseJson(Buffer.concat(chunks).toString('utf8'));
          const { statusCode = 0, headers } = reply;
          resolve({ type: 'answered', status: statusCode, headers, body: parsed });
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
