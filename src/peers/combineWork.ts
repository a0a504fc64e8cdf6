/** Adds up the work of several VMs. */

import type { GatewayWork, ServerLoad } from '../gateway/gatewayWork';

/** @returns the sum */
export function addWork(parts: readonly GatewayWork[]): GatewayWork {
  const sum = new Map<string, ServerLoad>();
  for (const { servers } of parts) {
    for (const [id, { reserved, running }] of servers) {
      const known = sum.get(id);
      sum.set(id, {
        reserved: (known?.reserved ?? 0) + reserved,
        running: (known?.running ?? 0) + running,
      });
    }
  }
  return {
    servers: sum,
    crossingPerMs: parts.reduce((total, { crossingPerMs }) => total + crossingPerMs, 0),
  };
}

/**
 * Takes a part out of a sum that contains it.
 *
 * @returns what is left, never below zero: the part may be newer than the sum
 */
export function subtractWork(sum: GatewayWork, part: GatewayWork): GatewayWork {
  const servers = new Map(
    [...sum.servers].map(([id, { reserved, running }]): [string, ServerLoad] => {
      const taken = part.servers.get(id);
      return [
        id,
        {
          reserved: Math.max(0, reserved - (taken?.reserved ?? 0)),
          running: Math.max(0, running - (taken?.running ?? 0)),
        },
      ];
    }),
  );
  return { servers, crossingPerMs: Math.max(0, sum.crossingPerMs - part.crossingPerMs) };
}
