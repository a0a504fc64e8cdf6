/** Throughput of one model under a placement, by maximum flow over failure domains and layers. */

import type { LayerRange } from '../../engines/engine';
import type { FailureDomainId } from '../../failureDomains/failureDomain';
import { maximumFlow, type FlowEdge } from './maximumFlow';
import type { PlacementLink, PlacementModel } from './placement';

/** An engine's part in a model. */
export interface Part {
  readonly failureDomain: FailureDomainId;
  readonly layers: LayerRange;
  /** Work in a second, tokens times layers. */
  readonly layerTokens: number;
}

/**
 * Tokens a second that these engines make, each running every layer that it holds. A link's
 * bandwidth is shared out evenly over the places where this model may cross it and over all models,
 * so the figure can be reached whatever the others do.
 *
 * @param model the model
 * @param parts the engines that hold some of it
 * @param links the links between failure domains
 * @param models how many models share the links
 */
export function modelFlow(
  model: PlacementModel,
  parts: readonly Part[],
  links: readonly PlacementLink[],
  models: number,
): number {
  const cuts = [
    ...new Set([0, model.layers, ...parts.flatMap(({ layers }) => [layers.from, layers.to])]),
  ];
  const domains = [...new Set(parts.map((part) => part.failureDomain))];
  const node = (domain: FailureDomainId, cut: number): number =>
    domains.indexOf(domain) * cuts.length + cuts.indexOf(cut);
  const source = domains.length * cuts.length;
  const sink = source + 1;
  const inner = cuts.filter((cut) => cut > 0 && cut < model.layers);
  const runs = parts.map(({ failureDomain, layers, layerTokens }): FlowEdge => ({
    from: node(failureDomain, layers.from),
    to: node(failureDomain, layers.to),
    capacity: layerTokens / (layers.to - layers.from),
  }));
  const ends = domains.flatMap((domain): FlowEdge[] => [
    { from: source, to: node(domain, 0), capacity: Infinity },
    { from: node(domain, model.layers), to: sink, capacity: Infinity },
  ]);
  const known = links.filter(({ from, to }) => domains.includes(from) && domains.includes(to));
  const hops = inner.flatMap((cut) =>
    known.map(({ from, to, bytesPerSecond }): FlowEdge => ({
      from: node(from, cut),
      to: node(to, cut),
      capacity: bytesPerSecond / model.activationBytes / inner.length / models,
    })),
  );
  return maximumFlow(sink + 1, [...runs, ...ends, ...hops], source, sink);
}
