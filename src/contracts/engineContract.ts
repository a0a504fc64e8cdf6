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
  /** Names a KV export that this stage imports before it runs, where there is one. */
  readonly kvImport?: KvExport;
}

/** KV cache of one request on one engine, kept for a while for others to import. */
export interface KvExport {
  readonly engine: BackendServerId;
  readonly address: Address;
  readonly request: RequestId;
  readonly layers: LayerRange;
  /** Tokens that it covers, prompt included. */
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
  /** Tokens already delivered to the caller; the stream goes on after them. */
  readonly delivered: readonly number[];
  readonly maxTokens: number;
  readonly priority: Priority;
}

/** What an engine sends on a stream. A stream that ends without `finish` on a frame is cut. */
export type StreamMessage =
  | { readonly type: 'frame'; readonly frame: TokenFrame }
  /** A stage on the route failed; `engine` names it. Nothing more comes on this stream. */
  | { readonly type: 'stage-failed'; readonly engine: BackendServerId; readonly detail: string }
  /** The engine took nothing in; true only where nothing ran. */
  | { readonly type: 'refused'; readonly reason: 'overloaded' | 'leaving' | 'wrong-layers' };

/** An engine's report of its load, which lags. */
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

/** A change of the prefix cache; events come late and with gaps in `sequence`. */
export interface CacheEvent {
  readonly engine: BackendServerId;
  readonly sequence: number;
  readonly type: 'stored' | 'evicted';
  /** Hash of the prefix up to this block. */
  readonly prefixHash: string;
  readonly tokens: number;
}

/** A change that an engine is told to make; names the wanted state, so it is safe to repeat. */
export interface EngineOrder {
  readonly engine: BackendServerId;
  readonly order: string;
  /** Engines that check it refuse a lower number than the highest one seen. */
  readonly fencing: number;
  /** The engine drops the order when it arrives later than this, wall-clock milliseconds. */
  readonly expiresAtMs: number;
  readonly wanted: EngineState;
}

/** What an engine holds and does; also its answer when it is read. */
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
