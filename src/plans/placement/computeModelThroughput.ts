/** Computes the throughput of one model as a maximum flow over failure domains and layer boundaries. */

import type { LayerRange } from '../../engines/engine';
import type { FailureDomainId } from '../../failureDomains/failureDomain';
import { computeMaximumFlow, type FlowEdge } from './computeMaximumFlow';
import type { PlacementLink, PlacementModel } from './placement';

/** An engine that processes some layers of a model. */
export interface EngineStage {
  readonly failureDomain: FailureDomainId;
  readonly layers: LayerRange;
  /** Tokens times layers that the engine processes in a second. */
  readonly layerTokens: number;
}

/**
 * Returns the throughput in tokens a second, where each engine processes all its layers. The
 * bandwidth of a link is divided evenly among the layer boundaries at which this model may cross it, and
 * among all models, so that the result is reachable whatever the other models do.
 *
 * @param model the model
 * @param stages the engines that hold layers of the model
 * @param links the links between failure domains
 * @param modelCount number of models that share the links
 */
export function computeModelThroughput(
  model: PlacementModel,
  stages: readonly EngineStage[],
  links: readonly PlacementLink[],
  modelCount: number,
): number {
  const boundaries = [
    ...new Set([0, model.layers, ...stages.flatMap(({ layers }) => [layers.from, layers.to])]),
  ];
  const domains = [...new Set(stages.map((stage) => stage.failureDomain))];
  const node = (domain: FailureDomainId, boundary: number): number =>
    domains.indexOf(domain) * boundaries.length + boundaries.indexOf(boundary);
  const source = domains.length * boundaries.length;
  const sink = source + 1;
  const innerBoundaries = boundaries.filter((boundary) => boundary > 0 && boundary < model.layers);
  const stageEdges = stages.map(({ failureDomain, layers, layerTokens }): FlowEdge => ({
    from: node(failureDomain, layers.from),
    to: node(failureDomain, layers.to),
    capacity: layerTokens / (layers.to - layers.from),
  }));
  const terminalEdges = domains.flatMap((domain): FlowEdge[] => [
    { from: source, to: node(domain, 0), capacity: Infinity },
    { from: node(domain, model.layers), to: sink, capacity: Infinity },
  ]);
  const usableLinks = links.filter(
    ({ from, to }) => domains.includes(from) && domains.includes(to),
  );
  const linkEdges = innerBoundaries.flatMap((boundary) =>
    usableLinks.map(({ from, to, bytesPerSecond }): FlowEdge => ({
      from: node(from, boundary),
      to: node(to, boundary),
      capacity: bytesPerSecond / model.activationBytes / innerBoundaries.length / modelCount,
    })),
  );
  return computeMaximumFlow(
    sink + 1,
    [...stageEdges, ...terminalEdges, ...linkEdges],
    source,
    sink,
  );
}
