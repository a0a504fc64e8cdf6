/** Sends an operator's requests to the fleet; any VM can answer them. */

import { Agent } from 'undici';
import { formatError } from '../../adapters/formatError';

export interface OperatorReply {
  /** HTTP status, or 0 if no VM was reached. */
  readonly status: number;
  readonly body: unknown;
}

export interface OperatorClient {
  readonly ask: (method: 'GET' | 'POST', path: string, body?: unknown) => Promise<OperatorReply>;
  /** Sends a GET request to one VM and then to those it lists, until one replies with a status below 400. */
  readonly askEach: (path: string) => Promise<OperatorReply>;
}

export interface OperatorClientOptions {
  /** Base URLs of VMs, tried in turn. */
  readonly vms: readonly string[];
  readonly token: string;
  readonly timeoutMs?: number;
}

interface VmView {
  readonly vms: readonly { readonly http: { readonly host: string; readonly port: number } }[];
}

/** Longest wait for the reply of one VM, milliseconds. */
const REQUEST_TIMEOUT_MS = 10_000;

/**
 * Creates a client.
 *
 * @param options the VMs to try, and the operator's token
 */
export function createOperatorClient(options: OperatorClientOptions): OperatorClient {
  const { vms, token, timeoutMs = REQUEST_TIMEOUT_MS } = options;
  const dispatcher = new Agent({ connect: { timeout: 1000 }, keepAliveTimeout: 1 });
  const askVm = async (
    url: string,
    method: 'GET' | 'POST',
    path: string,
    body?: unknown,
  ): Promise<OperatorReply> => {
    const reply = await dispatcher.request({
      origin: url,
      path: `/v1/operator${path}`,
      method,
      headers: { authorization: `Bearer ${token}`, 'content-type': 'application/json' },
      body: body === undefined ? null : JSON.stringify(body),
      signal: AbortSignal.timeout(timeoutMs),
    });
    return { status: reply.statusCode, body: await reply.body.json() };
  };
  const ask: OperatorClient['ask'] = async (method, path, body) => {
    const failures: string[] = [];
    for (const url of vms) {
      try {
        return await askVm(url, method, path, body);
      } catch (error) {
        failures.push(`${url}: ${formatError(error)}`);
        // The VM may have received the change, so it must not be sent to another one.
        if (method === 'POST' && !isConnectionRefused(error)) return createLostReply(failures);
      }
    }
    return { status: 0, body: { detail: `no VM was reached: ${failures.join('; ')}` } };
  };
  return {
    ask,
    askEach: async (path) => {
      const first = await ask('GET', path);
      if (first.status < 400) return first;
      const view = await ask('GET', '/vms');
      const others = view.status === 200 ? (view.body as VmView).vms : [];
      for (const { http } of others) {
        const url = `http://${http.host}:${http.port}`;
        const reply = await askVm(url, 'GET', path).catch(() => first);
        if (reply.status < 400) return reply;
      }
      return first;
    },
  };
}

function isConnectionRefused(error: unknown): boolean {
  return error instanceof Error && 'code' in error && error.code === 'ECONNREFUSED';
}

function createLostReply(failures: readonly string[]): OperatorReply {
  return { status: 504, body: { detail: `the answer was lost: ${failures.join('; ')}` } };
}
