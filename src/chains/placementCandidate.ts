/** Input and output of layer placement: engines, and orders for them. */

import type { LayerRange } from '../engines/engine';

export interface PlacementCandidate {
  readonly id: string;
  readonly failureDomain: string;
  readonly kind: string;
  /** Layers that it holds or was ordered to hold; undefined for an empty engine. */
  readonly layers: LayerRange | undefined;
  /** Whether it may be assigned other layers; false if it is leaving or already executes an order. */
  readonly isAssignable: boolean;
  /** Whether it is kept for layers that its failure domain lacks, and takes no others. */
  readonly isReserve?: boolean;
  /** Share of its request memory in use, 0 to 1; redundant engines with less load are reassigned first. */
  readonly loadShare: number;
}

export interface LayerOrder {
  readonly id: string;
  readonly layers: LayerRange;
}
