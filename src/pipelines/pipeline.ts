/** The planned paths over which a model's requests are distributed. */

import type { BackendServerId } from '../backendServers/backendServer';
import type { Engine, LayerRange, ModelId } from '../engines/engine';

/** One stage of a planned path; any of its engines may run the layers. */
export interface PlannedStage {
  readonly engines: readonly BackendServerId[];
  /** Cumulative shares of the engines in the stage, up to 1. */
  readonly cumulativeShares: readonly number[];
  readonly layers: LayerRange;
}

/** A chain of stages, each served by a class of engines, and its planned rate. */
export interface PlannedPath {
  readonly stages: readonly PlannedStage[];
  readonly tokensPerSecond: number;
}

export interface Pipeline {
  /** Identifies the input of the plan; see createPipelineKey. */
  readonly key: string;
  readonly model: ModelId;
  readonly layers: number;
  /** Engines of the model that may receive new work. */
  readonly engines: readonly Engine[];
  readonly paths: readonly PlannedPath[];
  /** Cumulative rates of the paths, for drawing by binary search. */
  readonly cumulativeRates: readonly number[];
  /** Planned rate through each engine, tokens a second. */
  readonly engineRates: ReadonlyMap<BackendServerId, number>;
  /** Planned rate of all paths, tokens a second. */
  readonly tokensPerSecond: number;
}
