/** The routes that a model's requests are spread over, planned from configuration and health. */

import type { BackendServerId } from '../backendServers/backendServer';
import type { Engine, LayerRange, ModelId } from '../engines/engine';

/** One stage of a planned path: any of these engines may run the layers. */
export interface PlannedStage {
  readonly engines: readonly BackendServerId[];
  /** Running sums of the engines' shares of the stage, up to 1. */
  readonly cumulativeShares: readonly number[];
  readonly layers: LayerRange;
}

/** Stages over classes of alike engines, and the rate that the plan gives them. */
export interface PlannedPath {
  readonly stages: readonly PlannedStage[];
  readonly tokensPerSecond: number;
}

export interface Pipeline {
  /** What the plan was made from; see fleetKey. */
  readonly key: string;
  readonly model: ModelId;
  readonly layers: number;
  /** Engines of the model that may get new work. */
  readonly engines: readonly Engine[];
  readonly paths: readonly PlannedPath[];
  /** Running sums of the paths' rates, for a draw by binary search. */
  readonly cumulativeRates: readonly number[];
  /** Planned rate through each engine, tokens a second. */
  readonly engineRates: ReadonlyMap<BackendServerId, number>;
  /** Planned rate of all paths, tokens a second. */
  readonly tokensPerSecond: number;
}
