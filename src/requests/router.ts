/** State of a node's router component and the options that it is created with. */

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
import type { EngineLoad } from './engineLoad';
import type { RequestId } from './request';
import type { RetryBudget } from './retryBudget';
import type { RouterEffect, ServerHealth } from './routerMessage';
import type { RunningRequest } from './runningRequest';
import type { CrashHistory } from './crashHistory';

/** @returns the route, or undefined if the usable engines do not hold every layer */
export type RouteChooser = (
  router: Router,
  running: RunningRequest,
  atMs: number,
) => Route | undefined;

export interface RouterOptions {
  /** Maximum number of requests that this VM runs concurrently. */
  readonly maxRunning: number;
  /** Initial limit of concurrent requests per model; defaults to the limit computed from the plan. */
  readonly initialLimit: number | undefined;
  /** Chooses the route of an attempt; measurements replace it by simple baselines. */
  readonly chooseRoute: RouteChooser;
}

export interface Router {
  readonly options: RouterOptions;
  readonly configuration: Configuration;
  readonly health: ReadonlyMap<BackendServerId, ServerHealth>;
  readonly pipelines: ReadonlyMap<ModelId, Pipeline>;
  readonly requests: Map<RequestId, RunningRequest>;
  readonly engineLoads: Map<BackendServerId, EngineLoad>;
  /** Time at which any engine last failed a stream, on this VM's clock, milliseconds. */
  readonly lastFailureAtMs: number;
  /** Failure domains that appear to have failed entirely, judging by this VM's own streams. */
  readonly failedDomains: ReadonlySet<FailureDomainId>;
  readonly retries: RetryBudget;
  readonly admission: Admission;
  readonly crashHistory: CrashHistory;
  /** VMs that accept new work, this one included. */
  readonly acceptingVms: number;
  /** Mean prompt and answer lengths, used for planning. */
  readonly workload: Workload;
  readonly isAccepting: boolean;
  /** Reason for refusing new requests; empty while they are accepted. */
  readonly refusalReason: string;
}

/** Result of one router event: the next state and the effects to carry out. */
export type RouterDecision = Decision<Router, RouterEffect>;
