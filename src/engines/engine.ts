/**
 * A model engine: a backend server that holds a contiguous range of one model's layers on
 * accelerators of one kind, batches continuously and caches prompt prefixes.
 */

import type { BackendServerId } from '../backendServers/backendServer';

/** Name of a model, unique in the fleet. */
export type ModelId = string;

/** Name of an accelerator kind. */
export type AcceleratorKindId = string;

/** Layers `[from, to)` of a model, counted from 0. */
export interface LayerRange {
  readonly from: number;
  readonly to: number;
}

/** A model with the size of its layers. */
export interface Model {
  readonly id: ModelId;
  readonly layers: number;
  /** Weights of one layer in bytes. */
  readonly bytesPerLayer: number;
  /** KV cache of one token in one layer in bytes. */
  readonly kvBytesPerTokenLayer: number;
  /** Activations of one token between two stages in bytes. */
  readonly activationBytes: number;
}

/**
 * Cost figures of one accelerator kind. An engine with `n` accelerators that holds `k` layers runs
 * one decode step of batch `b` in `k * (decodeBaseMicros + b * decodeMicrosPerSequence) / n`
 * microseconds, and prefill of `t` tokens in `k * t * prefillMicrosPerToken / n`.
 */
export interface AcceleratorKind {
  readonly id: AcceleratorKindId;
  /** Memory of one accelerator in bytes. */
  readonly memoryBytes: number;
  /** Fixed time of one decode step in one layer, microseconds. */
  readonly decodeBaseMicros: number;
  /** Added time of one decode step in one layer for each sequence in the batch, microseconds. */
  readonly decodeMicrosPerSequence: number;
  /** Time to prefill one token in one layer, microseconds. */
  readonly prefillMicrosPerToken: number;
  /** Maximum batch of one decode step. */
  readonly maxBatch: number;
}

/** Phase of work that an engine is assigned. */
export type EngineRole = 'mixed' | 'prefill' | 'decode' | 'idle';

export interface Engine {
  /** Id of the backend server. */
  readonly id: BackendServerId;
  readonly acceleratorKind: AcceleratorKindId;
  readonly accelerators: number;
  /** Bandwidth of its network interface, bytes a second. */
  readonly uplinkBytesPerSecond: number;
  readonly model: ModelId;
  readonly modelVersion: string;
  readonly adapter?: string;
  readonly layers: LayerRange;
  readonly role: EngineRole;
}
