/**
 * What operators publish: the routes that callers may use, the services behind them, and the
 * credentials of the workspaces. A catalog is immutable; a newer version replaces it as a whole.
 */

import type { PipelineModel } from '../chains/pipelineModel';

/** How an answer is carried: whole, or as a series of events. */
export type AnswerForm = 'call' | 'stream';

/** One service's part of a route's traffic. */
export interface TrafficShare {
  readonly service: string;
  /** Relative to the other shares of the route. */
  readonly weight: number;
}

/** One rule that maps a host and a path prefix to services. */
export interface RouteRule {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly prefix: string;
  readonly form: AnswerForm;
  /** A request may run more than once. */
  readonly isIdempotent: boolean;
  /** A broken stream may go on at another backend server. */
  readonly isResumable: boolean;
  /** Longest time that a request may go unanswered, milliseconds. */
  readonly timeoutMs: number;
  /** Target for the whole answer of a call, or the first event of a stream, milliseconds. */
  readonly targetMs: number;
  /** Target for the pause between two events, milliseconds. */
  readonly targetGapMs: number;
  /** Backend servers that one request may be sent to. */
  readonly maxAttempts: number;
  /** Needs no credential. */
  readonly isPublic: boolean;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly shares: readonly TrafficShare[];
}

export interface ServiceProfile {
  readonly name: string;
  /** Set where the service is a model cut into layers. */
  readonly model: PipelineModel | undefined;
}

export interface WorkspaceCredential {
  readonly workspace: string;
  /** Goes before the route's priority; 0 is the most urgent. */
  readonly priority: number | undefined;
}

/** Bounds on what a caller may send and how slowly. */
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
  /** False where no workspaces are declared, so that no credential is needed. */
  readonly hasWorkspaces: boolean;
  readonly limits: CallerLimits;
}
