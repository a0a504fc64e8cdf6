/**
 * A route through a pipeline: the chain of engines that runs every layer of a model once, in order,
 * for one attempt of one request.
 */

import type { BackendServerId } from '../backendServers/backendServer';
import type { LayerRange } from '../engines/engine';

/** One engine's part of a route; `layers` may be a subrange of those that the engine holds. */
export interface Stage {
  readonly engine: BackendServerId;
  readonly layers: LayerRange;
}

/** Stages whose ranges cover `[0, L)` once, in order. */
export type Route = readonly Stage[];
