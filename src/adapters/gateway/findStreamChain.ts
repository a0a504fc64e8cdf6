/** Finds the engines that could serve a stream now, by the load that this VM knows of. */

import { jitterLoads } from '../../chains/jitterLoads';
import { computeCrossDomainCost } from '../../chains/computeCrossDomainCost';
import { findChain } from '../../chains/findChain';
import type { Stage } from '../../chains/layerEngine';
import type { GatewayHost, Job } from '../../gateway/job';

export interface StreamChainSearch {
  /** Expected tokens of prompt and answer. */
  readonly tokens: number;
  /**
   * Longest expected delay of the first event, milliseconds; undefined for a stream that has already sent
   * events.
   */
  readonly maxStartMs?: number | undefined;
  /** Engines to which the request may be sent; all if undefined. */
  readonly entries?: ReadonlySet<string> | undefined;
  /** Engines that must not be used. */
  readonly excluded?: ReadonlySet<string>;
}

const NONE: ReadonlySet<string> = new Set();

/** @returns undefined if no chain has capacity */
export function findStreamChain(
  host: GatewayHost,
  job: Job,
  { tokens, maxStartMs, entries, excluded = NONE }: StreamChainSearch,
): readonly Stage[] | undefined {
  const { registry } = host;
  const { name, model } = job.profile;
  if (model === undefined) {
    const [server] = registry
      .usableServers(name)
      .filter(({ id }) => !excluded.has(id) && (entries?.has(id) ?? true))
      .sort(
        (one, other) =>
          registry.running(one.id) / one.slots - registry.running(other.id) / other.slots,
      );
    if (server === undefined) return undefined;
    return [{ id: server.id, address: server.address, layers: { from: 0, to: 0 } }];
  }
  return findChain({
    engines: jitterLoads(registry.chainEngines(name, model), host.vms(), host.random),
    layers: { from: 0, to: model.layers },
    tokens,
    fromDomain: host.failureDomain,
    domainDelayMs: model.domainDelayMs,
    crossDomainMs: computeCrossDomainCost(
      model,
      registry.crossingShare(model),
      maxStartMs === undefined,
    ),
    excluded,
    entries,
    isEntry: true,
    ...(maxStartMs === undefined ? {} : { maxFirstEventDelayMs: maxStartMs }),
  });
}
