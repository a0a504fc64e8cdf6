/** The placement problem: which engine is to hold which layers of which model. */

import type { BackendServerId } from '../../backendServers/backendServer';
import type { LayerRange, ModelId } from '../../engines/engine';
import type { FailureDomainId } from '../../failureDomains/failureDomain';

export interface PlacementModel {
  readonly id: ModelId;
  readonly layers: number;
  readonly bytesPerLayer: number;
  /** Activations of one token between two stages, bytes. */
  readonly activationBytes: number;
  /** Throughput beyond which more is of no use, tokens a second. */
  readonly demand: number;
}

export interface PlacementEngine {
  readonly id: BackendServerId;
  readonly failureDomain: FailureDomainId;
  /** Work in a second, tokens times layers. */
  readonly layerTokens: number;
  /** Memory for weights, bytes. */
  readonly memoryBytes: number;
  /** What it holds now. */
  readonly held?: Placed;
}

export interface Placed {
  readonly model: ModelId;
  readonly layers: LayerRange;
}

/** Bandwidth between two failure domains, bytes a second; inside one there is no bound. */
export interface PlacementLink {
  readonly from: FailureDomainId;
  readonly to: FailureDomainId;
  readonly bytesPerSecond: number;
}

export interface PlacementProblem {
  readonly models: readonly PlacementModel[];
  readonly engines: readonly PlacementEngine[];
  readonly links: readonly PlacementLink[];
}

/** What each engine holds; engines that are left out hold nothing. */
export type Placement = ReadonlyMap<BackendServerId, Placed>;

export interface PlacementScore {
  /** Pairs of a model and a failure domain such that the model runs on without the domain. */
  readonly survivals: number;
  /** Sum over the models of throughput up to their demand, tokens a second. */
  readonly served: number;
  /** Weights that have to be fetched from the weight store, bytes. */
  readonly movedBytes: number;
}
