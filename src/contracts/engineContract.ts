/**
 * The messages between the router and a model engine: streams by route, cancel, load reports, cache
 * events, KV export and import, and orders. docs/CONTRACTS.md gives the HTTP paths.
 */

import type { BackendServerId } from '../backendServers/backendServer';
import type { EngineRole, LayerRange, ModelId } from '../engines/engine';
import type { Priority, RequestId } from '../requests/request';
import type { AttemptNumber, TokenFrame } from '../requests/tokenFrame';
import type { Address } from '../vms/vm';
import type { WorkspaceId } from '../workspaces/workspace';

/** One stage of a route as engines see it, with the address of the engine. */
export interface AddressedStage {
  readonly engine: BackendServerId;
  readonly address: Address;
  readonly layers: LayerRange;
  /** KV export that this stage imports before it runs, if any. */
  readonly kvImport?: KvExport;
}

/** KV cache of one request on one engine, kept for a limited time for other engines to import. */
export interface KvExport {
  readonly engine: BackendServerId;
  readonly address: Address;
  readonly request: RequestId;
  readonly layers: LayerRange;
  /** Tokens that it covers, including the prompt. */
  readonly tokens: number;
}

/** Opens a stream at the first engine of the route. */
export interface StreamOrder {
  readonly request: RequestId;
  readonly workspace: WorkspaceId;
  readonly attempt: AttemptNumber;
  readonly model: ModelId;
  readonly route: readonly AddressedStage[];
  readonly prompt: readonly number[];
  /** Tokens already delivered to the caller; the stream continues after them. */
  readonly delivered: readonly number[];
  readonly maxTokens: number;
  readonly priority: Priority;
}

/** A message of an engine on a stream. A stream that ends without `finish` on a frame is truncated. */
export type StreamMessage =
  | { readonly type: 'frame'; readonly frame: TokenFrame }
  /** A stage on the route failed; `engine` names it. No further message follows on this stream. */
  | { readonly type: 'stage-failed'; readonly engine: BackendServerId; readonly detail: string }
  /** The engine rejected the stream; sent only if nothing ran. */
  | { readonly type: 'refused'; readonly reason: 'overloaded' | 'leaving' | 'wrong-layers' };

/** An engine's report of its load; it lags behind the actual load. */
export interface LoadReport {
  readonly engine: BackendServerId;
  /** Grows with each report. */
  readonly sequence: number;
  readonly running: number;
  readonly queued: number;
  readonly kvTokensUsed: number;
  readonly kvTokensTotal: number;
  readonly stepMicros: number;
  readonly leaving: boolean;
}

/** A change of the prefix cache; events may arrive late and with gaps in `sequence`. */
export interface CacheEvent {
  readonly engine: BackendServerId;
  readonly sequence: number;
  readonly type: 'stored' | 'evicted';
  /** Hash of the prefix up to this block. */
  readonly prefixHash: string;
  readonly tokens: number;
}

/** Orders a change of an engine. It carries the wanted state, so it is safe to repeat. */
export interface EngineOrder {
  readonly engine: BackendServerId;
  readonly order: string;
  /** Fencing token; engines that check it refuse a number below the highest one that they have seen. */
  readonly fencing: number;
  /** The engine drops an order that arrives after this time, wall-clock milliseconds. */
  readonly expiresAtMs: number;
  readonly wanted: EngineState;
}

/** State of an engine, as an order requests it or as the engine reports it. */
export interface EngineState {
  readonly model: ModelId;
  readonly modelVersion: string;
  readonly adapter?: string;
  readonly layers: LayerRange;
  readonly role: EngineRole;
  readonly leaving: boolean;
}

export type OrderResult =
  | { readonly type: 'done'; readonly state: EngineState }
  | { readonly type: 'fenced'; readonly highest: number }
  | { readonly type: 'expired' }
  | { readonly type: 'impossible'; readonly detail: string };
