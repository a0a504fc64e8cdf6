/**
 * Keeps the load of requests on the backend servers. That of this VM's own requests is exact; that of other
 * VMs comes from their heartbeats.
 */

import type { GatewayWork, ServerLoad, ServerLoads } from './gatewayWork';

export interface LoadRecord {
  /** Load of all VMs on a server. */
  readonly total: (id: string) => ServerLoad;
  /** Load of this VM. */
  readonly own: () => ServerLoads;
  /** Adds to the load of this VM; takes off where the amounts are negative. */
  readonly add: (id: string, reserved: number, running: number) => void;
  /** Tokens per millisecond between failure domains of the other VMs. */
  readonly peerCrossingPerMs: () => number;
  /** Replaces the work of another VM, or the sum of several VMs. */
  readonly mergePeerWork: (source: string, work: GatewayWork) => void;
  readonly removePeerWork: (source: string) => void;
}

/** Age at which another VM's work no longer counts; several heartbeats were missed by then. */
const WORK_VALID_MS = 3_000;

const NO_LOAD: ServerLoad = { reserved: 0, running: 0 };

/**
 * Creates a record without load.
 *
 * @param now monotonic clock, milliseconds
 */
export function createServerLoads(now: () => number): LoadRecord {
  const ownLoads = new Map<string, ServerLoad>();
  const peerWork = new Map<string, { readonly work: GatewayWork; readonly atMs: number }>();
  const recentWork = (): readonly GatewayWork[] => {
    const oldest = now() - WORK_VALID_MS;
    return [...peerWork.values()].flatMap(({ work, atMs }) => (atMs < oldest ? [] : work));
  };
  return {
    total: (id) => {
      let { reserved, running } = ownLoads.get(id) ?? NO_LOAD;
      for (const { servers } of recentWork()) {
        const load = servers.get(id);
        reserved += load?.reserved ?? 0;
        running += load?.running ?? 0;
      }
      return { reserved, running };
    },
    own: () => ownLoads,
    add: (id, reserved, running) => {
      const load = ownLoads.get(id) ?? NO_LOAD;
      const next = { reserved: load.reserved + reserved, running: load.running + running };
      if (next.running <= 0 && next.reserved <= 0) ownLoads.delete(id);
      else ownLoads.set(id, next);
    },
    peerCrossingPerMs: () => recentWork().reduce((sum, work) => sum + work.crossingPerMs, 0),
    mergePeerWork: (source, work) => {
      peerWork.set(source, { work, atMs: now() });
    },
    removePeerWork: (source) => {
      peerWork.delete(source);
    },
  };
}
