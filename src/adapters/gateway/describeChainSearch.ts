/** Describes the search for a stream's chain, by the load that this VM knows of. */

import { computeCrossDomainCost } from '../../chains/computeCrossDomainCost';
import type { ChainSearch } from '../../chains/findChain';
import type { PipelineModel } from '../../chains/pipelineModel';
import type { AdmissionBounds } from '../../admission/computeAdmissionBounds';
import { computeAdmissionBounds } from '../../admission/computeAdmissionBounds';
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
  /** Whether the chain may use the links between failure domains; by default, if they are not saturated. */
  readonly mayCross?: boolean;
}

/** Maximum expected first-event delay, in targets; beyond it, a later retry is no slower. */
const MAX_FIRST_EVENT_TARGETS = 1.5;

const NONE: ReadonlySet<string> = new Set();

export function describeChainSearch(
  host: GatewayHost,
  job: Job,
  model: PipelineModel,
  { tokens, hasBegun, entries, excluded = NONE, mayCross = true }: StreamChainSearch,
): ChainSearch {
  const { registry } = host;
  return {
    engines: registry.chainEngines(job.profile.name, model),
    isEntry: true,
    layers: { from: 0, to: model.layers },
    tokens,
    fromDomain: host.failureDomain,
    domainDelayMs: model.domainDelayMs,
    crossDomainMs: mayCross
      ? computeCrossDomainCost(model, registry.crossingShare(model), hasBegun)
      : Number.POSITIVE_INFINITY,
    excluded,
    entries,
    ...(hasBegun ? {} : computeBounds(job)),
  };
}

/** Bounds of a request that has not begun; one that has may take what there is. */
function computeBounds({ head, rule, priority, profile }: Job): Partial<AdmissionBounds> {
  const { targetMs } = rule;
  return profile.contention === undefined
    ? { maxFirstEventDelayMs: targetMs * MAX_FIRST_EVENT_TARGETS }
    : computeAdmissionBounds({ id: head.id, priority, targetMs }, profile.contention);
}
