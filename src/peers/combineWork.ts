/** Adds and subtracts the work of VMs on backend servers. */

import type { GatewayWork, ServerLoad } from '../gateway/gatewayWork';

/** @returns the sum of the parts, by backend server */
export function sumWork(parts: readonly GatewayWork[]): GatewayWork {
  const sum = new Map<string, ServerLoad>();
  for (const { servers } of parts) {
    for (const [id, { reserved, running }] of servers) {
      const previous = sum.get(id);
      sum.set(id, {
        reserved: (previous?.reserved ?? 0) + reserved,
        running: (previous?.running ?? 0) + running,
      });
    }
  }
  return {
    servers: sum,
    crossingPerMs: parts.reduce((total, { crossingPerMs }) => total + crossingPerMs, 0),
  };
}

/**
 * Subtracts a part from a sum that includes it.
 *
 * @returns the remainder, never below zero, since the part may be newer than the sum
 */
export function subtractWork(sum: GatewayWork, part: GatewayWork): GatewayWork {
  const servers = new Map(
    [...sum.servers].map(([id, { reserved, running }]): [string, ServerLoad] => {
      const own = part.servers.get(id);
      return [
        id,
        {
          reserved: Math.max(0, reserved - (own?.reserved ?? 0)),
          running: Math.max(0, running - (own?.running ?? 0)),
        },
      ];
    }),
  );
  return { servers, crossingPerMs: Math.max(0, sum.crossingPerMs - part.crossingPerMs) };
}
