/** Probes backend servers: the health of all, and the load and cache events of engines. */

import type { Dispatcher } from 'undici';
import type { CacheEvent, LoadReport } from '../contracts/engineContract';
import type { Address } from '../vms/vm';
import { PROBE_TIMEOUT_MS } from './constants';
import { cacheEventsSchema, healthSchema, loadReportSchema } from './engineSchemas';
import { formatOrigin } from './formatOrigin';

export interface ServerHealthAnswer {
  readonly result: 'live' | 'leaving' | 'unreachable';
  /** Empty if the server is unreachable. */
  readonly incarnation: string;
}

export interface ServerProbe {
  readonly health: (address: Address) => Promise<ServerHealthAnswer>;
  readonly load: (address: Address) => Promise<LoadReport | undefined>;
  /** Fetches the cache events after a sequence number. */
  readonly cacheEvents: (address: Address, after: number) => Promise<readonly CacheEvent[]>;
}

/**
 * Creates a probe that serves all backend servers.
 *
 * @param dispatcher the HTTP client
 */
export function createServerProbe(dispatcher: Dispatcher): ServerProbe {
  const get = async (address: Address, path: string): Promise<unknown> => {
    try {
      const reply = await dispatcher.request({
        origin: formatOrigin(address),
        path,
        method: 'GET',
        signal: AbortSignal.timeout(PROBE_TIMEOUT_MS),
      });
      return await reply.body.json();
    } catch {
      return undefined;
    }
  };
  return {
    health: async (address) => {
      const checked = healthSchema.safeParse(await get(address, '/v1/health'));
      if (!checked.success) return { result: 'unreachable', incarnation: '' };
      return { result: checked.data.state, incarnation: checked.data.incarnation };
    },
    load: async (address) => loadReportSchema.safeParse(await get(address, '/v1/load')).data,
    cacheEvents: async (address, after) => {
      const checked = cacheEventsSchema.safeParse(
        await get(address, `/v1/cache-events?after=${after}`),
      );
      return checked.data?.events ?? [];
    },
  };
}
