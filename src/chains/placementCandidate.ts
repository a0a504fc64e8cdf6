/** An engine as the planner of layers sees it, and what it is told. */

import type { LayerRange } from '../engines/engine';

export interface PlacementCandidate {
  readonly id: string;
  readonly failureDomain: string;
  readonly kind: string;
  /** Layers that it holds or was told to hold; undefined for an empty engine. */
  readonly layers: LayerRange | undefined;
  /** It may be given other layers; false for one that is leaving or already at work on an order. */
  readonly isFree: boolean;
  /** Part of its memory for requests that is taken, 0 to 1; the least loaded spare moves first. */
  readonly loadShare: number;
}

export interface LayerOrder {
  readonly id: string;
  readonly layers: LayerRange;
}
