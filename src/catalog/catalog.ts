/**
 * The catalog that operators publish: routes for callers, the services behind them and the credentials of
 * the workspaces. A catalog is immutable; a newer version replaces it completely.
 */

import type { Contention } from '../admission/contention';
import type { PipelineModel } from '../chains/pipelineModel';

/** How an answer is sent: in one piece or as a stream of events. */
export type AnswerForm = 'call' | 'stream';

/** A service's share of a route's traffic. */
export interface TrafficShare {
  readonly service: string;
  /** Relative to the other shares of the route. */
  readonly weight: number;
}

/** A rule that maps a host and a path prefix to services. */
export interface RouteRule {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly prefix: string;
  readonly form: AnswerForm;
  /** A request may run more than once. */
  readonly isIdempotent: boolean;
  /** A broken stream may resume on another backend server. */
  readonly isResumable: boolean;
  /** Maximum time until a request is answered, milliseconds. */
  readonly timeoutMs: number;
  /** Latency target for the complete answer of a call or the first event of a stream, milliseconds. */
  readonly targetMs: number;
  /** Target for the gap between two events, milliseconds. */
  readonly targetGapMs: number;
  /** Maximum number of backend servers that one request is sent to. */
  readonly maxAttempts: number;
  /** Requests need no credential. */
  readonly isPublic: boolean;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly shares: readonly TrafficShare[];
}

export interface ServiceProfile {
  readonly name: string;
  /** Set if the service is a model that is split into layers. */
  readonly model: PipelineModel | undefined;
  /** Path at which each server of the service states whether it is healthy. */
  readonly healthPath: string | undefined;
  /** Set if streams of different priorities compete for its engines. */
  readonly contention?: Contention | undefined;
}

export interface WorkspaceCredential {
  readonly workspace: string;
  /** Overrides the route's priority; 0 is the most urgent. */
  readonly priority: number | undefined;
}

/** Limits on the size of requests and on how slowly callers may send them. */
export interface CallerLimits {
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

export interface Catalog {
  readonly version: number;
  /** Rules of each host, longest prefix first. */
  readonly routes: ReadonlyMap<string, readonly RouteRule[]>;
  readonly services: ReadonlyMap<string, ServiceProfile>;
  readonly credentials: ReadonlyMap<string, WorkspaceCredential>;
  /** False if no workspaces are declared; requests then need no credential. */
  readonly hasWorkspaces: boolean;
  readonly limits: CallerLimits;
}
