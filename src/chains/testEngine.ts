/** Chain engines and listed backend servers for tests. */

import type { ChainEngine, ListedServer } from './layerEngine';

/** @returns an idle engine of failure domain `a` that holds the layers, unless `more` says otherwise */
export function createChainEngine(
  id: string,
  from: number,
  to: number,
  more: Partial<ChainEngine> = {},
): ChainEngine {
  return {
    id,
    address: `${id}:1`,
    failureDomain: 'a',
    layers: { from, to },
    layerStepMs: 0.1,
    capacity: 100_000,
    reserved: 0,
    entered: 0,
    slots: 10,
    firstEventDelayMs: 0,
    acceptsRequests: true,
    ...more,
  };
}

/** @returns a listed server of service `drafts` with nine layers, unless `more` says otherwise */
export function createListedServer(id: string, more: Partial<ListedServer> = {}): ListedServer {
  return {
    id,
    service: 'drafts',
    address: `${id}:1`,
    failureDomain: 'a',
    slots: 4,
    isDraining: false,
    bornMs: 5,
    kind: 'l4',
    layers: { from: 0, to: 9 },
    ...more,
  };
}
