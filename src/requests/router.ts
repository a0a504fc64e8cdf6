/** State of the router side of a node, and the options it is created with. */

import type { Map } from 'immutable';
import type { BackendServerId } from '../backendServers/backendServer';
import type { Configuration } from '../configuration/configuration';
import type { Decision } from '../decisions/decision';
import type { ModelId } from '../engines/engine';
import type { FailureDomainId } from '../failureDomains/failureDomain';
import type { Pipeline } from '../pipelines/pipeline';
import type { Route } from '../pipelines/route';
import type { Workload } from '../pipelines/workload';
import type { Admission } from './admission';
import type { EngineUse } from './engineUse';
import type { RequestId } from './request';
import type { RetryBudget } from './retryBudget';
import type { RouterEffect, ServerHealth } from './routerMessage';
import type { RunningRequest } from './runningRequest';
import type { Suspicion } from './suspicion';

/** @returns the route, or undefined where the usable engines do not hold every layer */
export type RouteChoice = (
  router: Router,
  running: RunningRequest,
  atMs: number,
) => Route | undefined;

export interface RouterOptions {
  /** Most requests that this VM runs at once. */
  readonly maxRunning: number;
  /** Requests of a model that run at once at first; by default what the plan gives. */
  readonly startLimit: number | undefined;
  /** Chooses the route of an attempt; measurements put plain baselines in its place. */
  readonly chooseRoute: RouteChoice;
}

export interface Router {
  readonly options: RouterOptions;
  readonly configuration: Configuration;
  readonly health: ReadonlyMap<BackendServerId, ServerHealth>;
  readonly pipelines: ReadonlyMap<ModelId, Pipeline>;
  readonly requests: Map<RequestId, RunningRequest>;
  readonly engines: Map<BackendServerId, EngineUse>;
  /** When an engine last failed a stream, on this VM's clock, milliseconds. */
  readonly failedAtMs: number;
  /** Failure domains that seem lost as a whole, from this VM's own streams. */
  readonly lostDomains: ReadonlySet<FailureDomainId>;
  readonly retries: RetryBudget;
  readonly admission: Admission;
  readonly suspicion: Suspicion;
  /** VMs that accept new work, this one included. */
  readonly acceptingVms: number;
  /** Mean shape of the requests of late. */
  readonly workload: Workload;
  readonly isAccepting: boolean;
  /** Why nothing new is accepted; empty while it is. */
  readonly refusalReason: string;
}

/** A step of the router: its next state and the effects of the step. */
export type RouterDecision = Decision<Router, RouterEffect>;
