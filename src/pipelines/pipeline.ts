/** The routes that a model's requests are spread over, planned from configuration and health. */

import type { BackendServerId } from '../backendServers/backendServer';
import type { Engine, ModelId } from '../engines/engine';
import type { Route } from './route';

/** A route and the rate that the plan gives it. */
export interface PlannedRoute {
  readonly route: Route;
  readonly tokensPerSecond: number;
}

export interface Pipeline {
  readonly model: ModelId;
  readonly layers: number;
  /** Engines of the model that may get new work. */
  readonly engines: readonly Engine[];
  readonly routes: readonly PlannedRoute[];
  /** Running sums of the routes' rates, for a draw by binary search. */
  readonly cumulativeRates: readonly number[];
  /** Planned rate through each engine, tokens a second. */
  readonly engineRates: ReadonlyMap<BackendServerId, number>;
  /** Planned rate of all routes, tokens a second. */
  readonly tokensPerSecond: number;
}
