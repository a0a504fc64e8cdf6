/** Orders that were sent to engines and have not shown in the list of backend servers yet. */

import type { LayerRange } from '../engines/engine';
import type { PipelineModel } from '../chains/pipelineModel';

export interface PendingOrder {
  readonly id: string;
  /** Incarnation that was ordered; a new one knows nothing of the order. */
  readonly bornMs: number;
  readonly layers: LayerRange;
  readonly sentMs: number;
  /** When it should show in the list at the latest, monotonic, milliseconds. */
  readonly dueMs: number;
}

/** Time for a finished load to reach the list, milliseconds: a heartbeat and the list's own delay. */
const LISTING_MS = 3_000;

/** Times longer than alone that a load may take beside others. */
const LOAD_SLACK = 2;

/** @returns when an order's layers should be listed, monotonic, milliseconds */
export function computeDueTime(model: PipelineModel, layers: LayerRange, sentMs: number): number {
  const share = (layers.to - layers.from) / model.layers;
  return sentMs + model.loadMs * share * LOAD_SLACK + LISTING_MS;
}
