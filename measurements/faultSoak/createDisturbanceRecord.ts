/**
 * Records which VMs took part in requests: the one that a caller asked, and those that sent the request to a server for
 * it. What disturbs any of them can break the answer.
 */

import type { GatewayProcess } from './startGatewayProcess';
import type { ServerLinks } from './startServerLinks';

export interface DisturbanceRecord {
  /** Records that a server began to run a request which came by a VM's links. */
  readonly recordRun: (requestId: string, links: ServerLinks | undefined) => void;
  /** Whether a VM that took part in a request was frozen, restarted or partitioned meanwhile. */
  readonly wasDisturbed: (requestId: string, exchange: SoakExchange) => boolean;
}

export interface SoakExchange {
  readonly gateways: readonly Pick<GatewayProcess, 'address' | 'links' | 'wasDisturbed'>[];
  /** Address of the VM that the caller asked. */
  readonly address: string;
  /** Monotonic, milliseconds. */
  readonly sentMs: number;
  readonly endedMs: number;
}

export function createDisturbanceRecord(): DisturbanceRecord {
  const linksOfRuns = new Map<string, ReadonlySet<ServerLinks>>();
  return {
    recordRun: (requestId, links) => {
      if (links === undefined) return;
      linksOfRuns.set(requestId, new Set([...(linksOfRuns.get(requestId) ?? []), links]));
    },
    wasDisturbed: (requestId, { gateways, address, sentMs, endedMs }) => {
      const linksOfRun = linksOfRuns.get(requestId);
      return gateways
        .filter((gateway) => gateway.address === address || linksOfRun?.has(gateway.links) === true)
        .some(
          (gateway) =>
            gateway.wasDisturbed(sentMs, endedMs) || gateway.links.wasPartitioned(sentMs, endedMs),
        );
    },
  };
}
