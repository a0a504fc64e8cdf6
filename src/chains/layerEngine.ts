/** Backend servers as they are listed, and engines as parts of a chain. */

import type { LayerRange } from '../engines/engine';

export interface ListedServer {
  readonly id: string;
  readonly service: string;
  /** IP and port. */
  readonly address: string;
  readonly failureDomain: string;
  /** Number of requests that it processes concurrently. */
  readonly slots: number;
  /** It is shutting down and accepts no new requests. */
  readonly isDraining: boolean;
  /** Start of this incarnation, Unix milliseconds; 0 if it is unknown. */
  readonly bornMs: number;
  /** Kind of its accelerator. */
  readonly kind: string | undefined;
  /** Layers that it holds and serves. */
  readonly layers: LayerRange | undefined;
}

/** An engine that can be part of a chain, with its known load. */
export interface ChainEngine {
  readonly id: string;
  readonly address: string;
  readonly failureDomain: string;
  readonly layers: LayerRange;
  /** Time of one decoding step on one layer, unloaded, milliseconds. */
  readonly layerStepMs: number;
  /** Tokens times layers that fit in memory beside the weights. */
  readonly capacity: number;
  /** Tokens times layers that running requests are expected to use, over all VMs. */
  readonly reserved: number;
  /** Running requests whose chain starts at this engine, over all VMs. */
  readonly entered: number;
  readonly slots: number;
  /** Expected delay of the first event of a stream whose chain starts here, milliseconds. */
  readonly firstEventDelayMs: number;
  /** Whether a request may be sent to it now; as a later stage it receives none. */
  readonly acceptsRequests: boolean;
}

/** One engine's part of a request's path. */
export interface Stage {
  readonly id: string;
  readonly address: string;
  readonly layers: LayerRange;
}
