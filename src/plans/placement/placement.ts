/** Types of the placement problem: which engine holds which layers of which model. */

import type { BackendServerId } from '../../backendServers/backendServer';
import type { LayerRange, ModelId } from '../../engines/engine';
import type { FailureDomainId } from '../../failureDomains/failureDomain';

export interface PlacementModel {
  readonly id: ModelId;
  readonly layers: number;
  readonly bytesPerLayer: number;
  /** Size of the activations of one token sent between two stages, bytes. */
  readonly activationBytes: number;
  /** Throughput above which more has no benefit, tokens a second. */
  readonly demand: number;
}

export interface PlacementEngine {
  readonly id: BackendServerId;
  readonly failureDomain: FailureDomainId;
  /** Tokens times layers that the engine processes in a second. */
  readonly layerTokens: number;
  /** Memory for weights, bytes. */
  readonly memoryBytes: number;
  /** The layers that it holds now. */
  readonly held?: LayerAssignment;
}

/** Layers of a model that an engine holds. */
export interface LayerAssignment {
  readonly model: ModelId;
  readonly layers: LayerRange;
}

/** A link between two failure domains; bandwidth inside a domain is unlimited. */
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

/** Layers that each engine holds; an engine without an entry holds none. */
export type Placement = ReadonlyMap<BackendServerId, LayerAssignment>;

export interface PlacementScore {
  /** Number of pairs of a model and a failure domain whose loss the model survives. */
  readonly survivedLosses: number;
  /** Throughput of each model up to its demand, summed over the models, tokens a second. */
  readonly served: number;
  /** Weights to fetch from the weight store, bytes. */
  readonly movedBytes: number;
}
