/** HTTP client for the platform's list of VMs; docs/CONTRACTS.md specifies the endpoint. */

import type { Dispatcher } from 'undici';
import { z } from 'zod';
import type { MembershipList } from '../contracts/membershipList';
import { PLATFORM_TIMEOUT_MS } from './constants';
import type { Vm, VmAddresses } from '../vms/vm';
import { formatError } from './formatError';
import type { Shape } from './shape';

const address = z.object({ host: z.string(), port: z.number() });

const listSchema = z.object({
  vms: z.array(
    z.object({
      vm: z.object({
        id: z.string(),
        incarnation: z.number(),
        failureDomain: z.string(),
        region: z.string(),
        addresses: z.object({
          http: address,
          peer: address,
          gossip: address,
        } satisfies Shape<VmAddresses>),
      } satisfies Shape<Vm>),
      state: z.enum(['live', 'leaving']),
    }),
  ),
});

export interface MembershipClientOptions {
  /** Base URL of the service. */
  readonly url: string;
  readonly dispatcher: Dispatcher;
  readonly timeoutMs?: number;
}

/**
 * Creates a client.
 *
 * @param options the base URL and the HTTP client
 */
export function createMembershipClient(options: MembershipClientOptions): MembershipList {
  const { url, dispatcher, timeoutMs = PLATFORM_TIMEOUT_MS } = options;
  return {
    list: async () => {
      try {
        const reply = await dispatcher.request({
          origin: url,
          path: '/v1/vms',
          method: 'GET',
          signal: AbortSignal.timeout(timeoutMs),
        });
        const checked = listSchema.safeParse(await reply.body.json());
        if (checked.success) return { type: 'listed', vms: checked.data.vms };
        return { type: 'unavailable', detail: `status ${reply.statusCode}, unexpected body` };
      } catch (error) {
        return { type: 'unavailable', detail: formatError(error) };
      }
    },
  };
}
