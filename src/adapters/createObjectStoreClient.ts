/** The platform's object store over HTTP; docs/CONTRACTS.md gives the paths. */

import type { Dispatcher } from 'undici';
import type { ObjectResult, ObjectStore } from '../contracts/objectStore';
import { connectionFailure } from './connectionFailure';
import { PLATFORM_TIMEOUT_MS } from './constants';
import { errorText } from './errorText';

export interface ObjectStoreClientOptions {
  /** Base URL of the service. */
  readonly url: string;
  readonly dispatcher: Dispatcher;
  readonly timeoutMs?: number;
}

/**
 * Creates a client; a put whose reply is lost after it was sent is `ambiguous`.
 *
 * @param options the base URL and the HTTP client
 */
export function createObjectStoreClient(options: ObjectStoreClientOptions): ObjectStore {
  const { url, dispatcher, timeoutMs = PLATFORM_TIMEOUT_MS } = options;
  const call = async (
    method: 'GET' | 'PUT',
    name: string,
    body?: Uint8Array,
  ): Promise<ObjectResult<Uint8Array>> => {
    try {
      const reply = await dispatcher.request({
        origin: url,
        path: `/v1/objects/${encodeURIComponent(name)}`,
        method,
        body: body ?? null,
        signal: AbortSignal.timeout(timeoutMs),
      });
      const value = await reply.body.bytes();
      if (reply.statusCode === 404) return { type: 'missing' };
      if (reply.statusCode < 300) return { type: 'ok', value };
      return { type: 'unavailable', detail: `status ${reply.statusCode}` };
    } catch (error) {
      const isUnsent = method === 'GET' || connectionFailure(error) === 'unreachable';
      return { type: isUnsent ? 'unavailable' : 'ambiguous', detail: errorText(error) };
    }
  };
  return {
    get: (name) => call('GET', name),
    put: async (name, body) => {
      const result = await call('PUT', name, body);
      return result.type === 'ok' ? { type: 'ok', value: undefined } : result;
    },
  };
}
