/** A caller's request on its way through the gateway, and what every part of the gateway shares. */

import type { IncomingHttpHeaders, ServerResponse } from 'node:http';
import type { RouteRule, ServiceProfile } from '../catalog/catalog';
import type { BackendProtocol, RequestHead } from './backendProtocol';
import type { ServerBoard } from './createServerBoard';
import type { ServiceBudgets } from './createServiceBudgets';
import type { StartTimes } from './createStartTimes';
import type { ServerProbes } from './createServerProbes';
import type { StreamWatch } from './streamWatch';

export interface Job {
  readonly head: RequestHead;
  readonly rule: RouteRule;
  readonly profile: ServiceProfile;
  readonly workspace: string | undefined;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly method: string;
  readonly path: string;
  readonly headers: IncomingHttpHeaders;
  readonly body: Buffer | undefined;
  readonly response: ServerResponse;
  /** Monotonic, milliseconds. */
  readonly arrivedMs: number;
  /** The caller has asked before, so that its answer is late already. */
  readonly isReturning: boolean;
  /** When the caller's deadline or the route's timeout ends it, monotonic, milliseconds. */
  readonly expiresMs: number;
  /** Notes that a server may have the request from now on. */
  readonly noteSent: () => void;
  /** A server may have had the request. */
  readonly wasSent: () => boolean;
  /** The caller left, or its answer is over. */
  readonly isOver: () => boolean;
  /** Called once, when the caller leaves before its answer is over. */
  readonly onGone: (listener: () => void) => void;
}

export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

export interface GatewayHost {
  readonly protocol: BackendProtocol;
  readonly board: ServerBoard;
  readonly budgets: ServiceBudgets;
  readonly probes: ServerProbes;
  readonly watch: StreamWatch;
  readonly startTimes: StartTimes;
  readonly failureDomain: string;
  /** Time for which a leaving backend server still serves, milliseconds. */
  readonly drainMs: number;
  /** This VM has just started, and knows little of the work on the backend servers. */
  readonly isNewcomer: () => boolean;
  /** VMs that choose among the same backend servers. */
  readonly vms: () => number;
  /** Monotonic clock, milliseconds. */
  readonly now: () => number;
  /** Uniform in [0, 1). */
  readonly random: () => number;
  readonly log: (message: string, fields: LogFields) => void;
  readonly count: (counter: string, label?: string) => void;
  readonly observe: (histogram: 'first_event' | 'event_gap' | 'call', ms: number) => void;
}
