/** Finds the engines that could serve a stream now, by the load that this VM knows of. */

import { chooseChain } from '../../chains/chooseChain';
import { computeCrossDomainCost } from '../../chains/computeCrossDomainCost';
import type { Stage } from '../../chains/layerEngine';
import type { GatewayHost, Job } from '../../gateway/job';

export interface StreamChainSearch {
  /** Expected tokens of prompt and answer. */
  readonly tokens: number;
  /** Whether the caller has received events; the chain may then take longer to send the next. */
  readonly hasBegun: boolean;
  /** Engines to which the request may be sent; all if undefined. */
  readonly entries?: ReadonlySet<string> | undefined;
  /** Engines that must not be used. */
  readonly excluded?: ReadonlySet<string>;
}

/** Maximum expected first-event delay, in targets; beyond it, a later retry is no slower. */
const MAX_FIRST_EVENT_TARGETS = 1.5;

const NONE: ReadonlySet<string> = new Set();

/** @returns undefined if no chain has capacity */
export function findStreamChain(
  host: GatewayHost,
  job: Job,
  { tokens, hasBegun, entries, excluded = NONE }: StreamChainSearch,
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
  return chooseChain({
    engines: registry.chainEngines(name, model),
    vms: host.vms(),
    isRecovery: hasBegun,
    random: host.random,
    layers: { from: 0, to: model.layers },
    tokens,
    fromDomain: host.failureDomain,
    domainDelayMs: model.domainDelayMs,
    crossDomainMs: computeCrossDomainCost(model, registry.crossingShare(model), hasBegun),
    excluded,
    entries,
    ...(hasBegun ? {} : { maxFirstEventDelayMs: job.rule.targetMs * MAX_FIRST_EVENT_TARGETS }),
  });
}
