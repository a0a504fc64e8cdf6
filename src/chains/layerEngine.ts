/** An engine as the list of backend servers shows it. */

import type { LayerRange } from '../engines/engine';

export interface ListedServer {
  readonly id: string;
  readonly service: string;
  /** IP and port. */
  readonly address: string;
  readonly failureDomain: string;
  /** Requests that it works on at once. */
  readonly slots: number;
  /** It is leaving and takes nothing new. */
  readonly isDraining: boolean;
  /** Start of this incarnation, Unix milliseconds; 0 where it is not told. */
  readonly bornMs: number;
  /** Kind of its accelerator. */
  readonly kind: string | undefined;
  /** Layers that it holds and serves. */
  readonly layers: LayerRange | undefined;
}

/** An engine that may take part of a chain, with what is known of its load. */
export interface ChainEngine {
  readonly id: string;
  readonly address: string;
  readonly failureDomain: string;
  readonly layers: LayerRange;
  /** Time of one decoding step on one layer, unloaded, milliseconds. */
  readonly layerStepMs: number;
  /** Tokens times layers that fit beside the weights. */
  readonly capacity: number;
  /** Tokens times layers that running requests are expected to take, over all VMs. */
  readonly reserved: number;
  /** Requests that entered the model at this engine, over all VMs. */
  readonly entered: number;
  readonly slots: number;
  /** Time that a stream which enters here is likely to wait for its first event, milliseconds. */
  readonly startDelayMs: number;
}

/** One engine's part of a request's path. */
export interface Stage {
  readonly id: string;
  readonly address: string;
  readonly layers: LayerRange;
}
