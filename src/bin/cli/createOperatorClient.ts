/** Asks the fleet as an operator; any VM that answers will do. */

import { Agent } from 'undici';
import { formatError } from '../../adapters/formatError';

export interface OperatorReply {
  /** HTTP status, or 0 where no VM was reached. */
  readonly status: number;
  readonly body: unknown;
}

export interface OperatorClient {
  readonly ask: (method: 'GET' | 'POST', path: string, body?: unknown) => Promise<OperatorReply>;
  /** The same question to every VM that this one knows; the first answer below 400 counts. */
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

/** Longest wait for one VM, milliseconds. */
const ASK_TIMEOUT_MS = 10_000;

/**
 * Creates a client.
 *
 * @param options VMs to try, and the operator's token
 */
export function createOperatorClient(options: OperatorClientOptions): OperatorClient {
  const { vms, token, timeoutMs = ASK_TIMEOUT_MS } = options;
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
        // A change that may have arrived is not sent to another VM.
        if (method === 'POST' && !isRefused(error)) return lost(failures);
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

function isRefused(error: unknown): boolean {
  return error instanceof Error && 'code' in error && error.code === 'ECONNREFUSED';
}

function lost(failures: readonly string[]): OperatorReply {
  return { status: 504, body: { detail: `the answer was lost: ${failures.join('; ')}` } };
}
