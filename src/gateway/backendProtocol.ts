/**
 * The protocol that callers and backend servers use, as the gateway needs it. An adapter implements it,
 * so the gateway itself contains no header names or paths.
 */

import type { IncomingHttpHeaders, OutgoingHttpHeaders } from 'node:http';
import type { LayerRange } from '../engines/engine';
import type { Stage } from '../chains/layerEngine';

/** Metadata from the headers of a caller's request. */
export interface RequestHead {
  readonly id: string;
  /** Time that the caller will wait, milliseconds; undefined if the request does not state it. */
  readonly deadlineMs: number | undefined;
  readonly authorization: string | undefined;
  /** Id of the last event that the caller received, if it resumes a stream. */
  readonly lastEventId: string | undefined;
  readonly promptTokens: number;
  /** Ids of the parts of the prompt that other requests may share, in order. */
  readonly sharedParts: readonly string[];
  /** Maximum number of tokens in the answer. */
  readonly maxAnswerTokens: number;
  /** The caller's estimate of the number of tokens in the answer. */
  readonly expectedAnswerTokens: number | undefined;
}

/** Metadata that the gateway adds when it forwards a request to a backend server. */
export interface Forwarding {
  readonly deadlineMs: number;
  readonly serverId: string;
  readonly workspace: string | undefined;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly stages: readonly Stage[];
  readonly lastEventId: string | undefined;
}

/** What a backend server's reply states about the requests that it takes from all VMs together. */
export type RequestLimit =
  | { readonly type: 'none' }
  | { readonly type: 'limit'; readonly perSecond: number }
  | { readonly type: 'malformed'; readonly text: string };

/** Metadata from the headers of a backend server's reply. */
export interface ReplyHead {
  /** Id of the request that the reply belongs to. */
  readonly requestId: string | undefined;
  /** The reply carries the backend server's own signature. */
  readonly isSealed: boolean;
  /** The backend server states that it did not run the request. */
  readonly isNotRun: boolean;
  /** Address of the engine that caused the failure of a chain. */
  readonly faultAddress: string | undefined;
  /** No intermediary has encoded the body. */
  readonly isUnencoded: boolean;
  /** The backend server is leaving and should get no new requests. */
  readonly isLeaving: boolean;
  /** Time for which a backend server that refuses wants no requests from this VM, milliseconds. */
  readonly quietMs: number | undefined;
  /** Text in place of a quiet time that is not a time. */
  readonly malformedQuietTime: string | undefined;
  readonly requestLimit: RequestLimit;
}

/** A running request that waits for an engine of its chain. */
export interface StalledRequest {
  readonly requestId: string;
  /** Address of the engine that it waits for. */
  readonly address: string;
}

export interface EngineReport {
  /** Start of this incarnation, Unix milliseconds; 0 if the engine does not report it. */
  readonly bornMs: number;
  /** Number of orders that this incarnation has accepted. */
  readonly acceptedOrders: number;
  readonly isBusy: boolean;
  /** Requests that wait to run. */
  readonly queued: number;
  /** Requests that run. */
  readonly running: number;
  /** Share of the request memory in use, 0 to 1. */
  readonly memoryShare: number;
  readonly layers: LayerRange | undefined;
  /** Step time as a multiple of the nominal step time of the engine's kind. */
  readonly pace: number;
  readonly stalled: readonly StalledRequest[];
}

/** Result of an order; after `unknown` the engine may still carry it out. */
export type OrderResult =
  | { readonly type: 'accepted' }
  | { readonly type: 'rejected'; readonly status: number; readonly address: string | undefined }
  | { readonly type: 'unknown'; readonly detail: string };

export type ReportResult =
  | {
      readonly type: 'report';
      readonly report: EngineReport;
      readonly requestLimit: RequestLimit;
    }
  /** The connection was refused or reset, or the answer was broken or over its bound. */
  | { readonly type: 'refused'; readonly detail?: string }
  | { readonly type: 'silent' }
  | { readonly type: 'failed'; readonly detail: string };

/** Result of a request to a server's health path. */
export type HealthResult =
  | {
      readonly type: 'answered';
      /** Undefined if the server does not state it. */
      readonly serverId: string | undefined;
      readonly isHealthy: boolean;
    }
  | { readonly type: 'refused' }
  | { readonly type: 'silent' };

export interface BackendProtocol {
  /** Names, in lower case, of the fields of a request that may stand once. */
  readonly singleFields: ReadonlySet<string>;
  readonly readRequest: (headers: IncomingHttpHeaders) => RequestHead;
  readonly forwardHeaders: (
    headers: IncomingHttpHeaders,
    forwarding: Forwarding,
  ) => OutgoingHttpHeaders;
  /** Headers of a request that another VM is to serve. */
  readonly peerHeaders: (
    headers: IncomingHttpHeaders,
    changed: Pick<Forwarding, 'deadlineMs' | 'lastEventId'>,
  ) => OutgoingHttpHeaders;
  readonly readReply: (status: number, headers: IncomingHttpHeaders) => ReplyHead;
  /** The reply's headers without hop-by-hop headers. */
  readonly replyHeaders: (headers: IncomingHttpHeaders) => OutgoingHttpHeaders;
  /** Headers of a refusal; `retryAfterMs` tells the caller when to retry. */
  readonly refusalHeaders: (retryAfterMs: number | undefined) => OutgoingHttpHeaders;
  readonly fetchReport: (address: string) => Promise<ReportResult>;
  readonly checkHealth: (address: string, healthPath: string) => Promise<HealthResult>;
  /** Checks whether a server accepts connections, without a request. */
  readonly checkConnection: (address: string) => Promise<'accepted' | 'refused' | 'silent'>;
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
