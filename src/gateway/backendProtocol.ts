/**
 * What the gateway needs of the language that callers and backend servers speak. An adapter supplies
 * it; the gateway knows no header or path of its own.
 */

import type { IncomingHttpHeaders, OutgoingHttpHeaders } from 'node:http';
import type { LayerRange } from '../engines/engine';
import type { Stage } from '../chains/layerEngine';

/** What a caller's request says of itself. */
export interface RequestHead {
  readonly id: string;
  /** Time that the caller will wait, milliseconds; undefined where it does not say. */
  readonly deadlineMs: number | undefined;
  readonly authorization: string | undefined;
  /** Last event of a stream that the caller has, where it resumes one. */
  readonly lastEventId: string | undefined;
  readonly promptTokens: number;
  /** The most tokens that the answer may have. */
  readonly maxAnswerTokens: number;
  /** The caller's estimate of the answer's tokens. */
  readonly expectedAnswerTokens: number | undefined;
}

/** What the gateway adds to a request on its way to a backend server. */
export interface Forwarding {
  readonly deadlineMs: number;
  readonly serverId: string;
  readonly workspace: string | undefined;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly stages: readonly Stage[];
  readonly lastEventId: string | undefined;
}

/** What a backend server's reply says beside its status. */
export interface ReplyHead {
  /** Id of the request that it answers. */
  readonly requestId: string | undefined;
  /** It bears the backend server's own signature. */
  readonly isSealed: boolean;
  /** The backend server states that it did not run the request. */
  readonly isNotRun: boolean;
  /** Address of the engine at fault, where a chain failed. */
  readonly faultAddress: string | undefined;
  /** Its body is not encoded by something on the way. */
  readonly isPlain: boolean;
}

/** Running work that waits for an engine of its chain. */
export interface StalledWork {
  readonly requestId: string;
  readonly address: string;
}

export interface EngineReport {
  /** Start of this incarnation, Unix milliseconds; 0 where it is not told. */
  readonly bornMs: number;
  /** Orders accepted by this incarnation. */
  readonly orders: number;
  readonly isBusy: boolean;
  /** Requests that wait to be run, and that are run. */
  readonly queued: number;
  readonly running: number;
  /** Part of the memory for requests that is taken, 0 to 1. */
  readonly memoryShare: number;
  readonly layers: LayerRange | undefined;
  /** Step time against what its kind should take. */
  readonly pace: number;
  readonly stalled: readonly StalledWork[];
}

/** How an order ended; `unknown` may still be carried out. */
export type OrderResult =
  | { readonly type: 'accepted' }
  | { readonly type: 'rejected'; readonly status: number; readonly address: string | undefined }
  | { readonly type: 'unknown'; readonly detail: string };

export type ReportResult =
  | { readonly type: 'report'; readonly report: EngineReport }
  | { readonly type: 'refused' }
  | { readonly type: 'silent' }
  | { readonly type: 'failed'; readonly detail: string };

export interface BackendProtocol {
  readonly readRequest: (headers: IncomingHttpHeaders) => RequestHead;
  readonly forwardHeaders: (
    headers: IncomingHttpHeaders,
    forwarding: Forwarding,
  ) => OutgoingHttpHeaders;
  readonly readReply: (status: number, headers: IncomingHttpHeaders) => ReplyHead;
  /** The reply's headers without those that concern one connection only. */
  readonly replyHeaders: (headers: IncomingHttpHeaders) => OutgoingHttpHeaders;
  /** Headers of a refusal; `retryAfterMs` says when to come back. */
  readonly refusalHeaders: (retryAfterMs: number | undefined) => OutgoingHttpHeaders;
  readonly fetchReport: (address: string) => Promise<ReportResult>;
  readonly placeLayers: (
    address: string,
    layers: LayerRange,
    ordersBefore: number,
  ) => Promise<OrderResult>;
  readonly changePath: (
    address: string,
    requestId: string,
    stages: readonly Stage[],
  ) => Promise<OrderResult>;
}
