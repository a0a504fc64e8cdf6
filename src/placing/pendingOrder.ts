/** Orders that were sent to engines but are not yet visible in the list of backend servers. */

import type { LayerRange } from '../engines/engine';
import type { PipelineModel } from '../chains/pipelineModel';

export interface PendingOrder {
  readonly id: string;
  /** Start of the incarnation that received the order; a later incarnation does not know the order. */
  readonly bornMs: number;
  readonly layers: LayerRange;
  readonly sentMs: number;
  /** Latest time at which the list should show the layers, monotonic, milliseconds. */
  readonly dueMs: number;
}

/** Time until the list shows loaded layers: a heartbeat and the delay of the list itself. */
const LISTING_MS = 3_000;

/** Factor by which concurrent loads may slow down a load. */
const LOAD_SLACK = 2;

/** @returns the time at which an order's layers should be listed, monotonic, milliseconds */
export function computeDueTime(model: PipelineModel, layers: LayerRange, sentMs: number): number {
  const share = (layers.to - layers.from) / model.layers;
  return sentMs + model.loadMs * share * LOAD_SLACK + LISTING_MS;
}
