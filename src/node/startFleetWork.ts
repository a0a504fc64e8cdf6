/**
 * Starts the work that the VMs of a fleet divide among them: each keeps its record, and one of them, the executor,
 * places layers and keeps refused contents in the store.
 */

import { createContentKeeper } from '../adapters/gateway/createContentKeeper';
import { createExecutorClaim } from '../adapters/gateway/createExecutorClaim';
import { createPlacer } from '../adapters/gateway/createPlacer';
import type { Catalog } from '../catalog/catalog';
import type { BackendProtocol } from '../gateway/backendProtocol';
import type { LogFields } from '../gateway/job';
import type { LongPollTimings } from '../peers/chooseLongPollTimings';
import type { FollowContext } from './createFollowContext';
import { createGatewayTask } from './createGatewayTask';
import type { GatewayTaskOptions } from './createGatewayTask';
import { followMembership } from './followMembership';

export interface FleetWorkOptions extends Omit<
  GatewayTaskOptions,
  'membership' | 'executorClaim' | 'placer' | 'contentKeeper'
> {
  readonly followContext: FollowContext;
  readonly timings: () => LongPollTimings;
  /** Table of the rows that the VMs write. */
  readonly table: string;
  readonly protocol: BackendProtocol;
  readonly catalog: () => Catalog | undefined;
  /** Monotonic clock, milliseconds. */
  readonly now: () => number;
  readonly log: (message: string, fields: LogFields) => void;
  readonly count: (counter: string, label?: string) => void;
}

export interface FleetWork {
  /** Gives up this VM's part of the work, so that others take it at once. */
  readonly release: () => Promise<unknown>;
  /** Stops the periodic work. */
  readonly stop: () => void;
}

const EXECUTOR_KEY = 'executor';
const CONTENT_KEY = 'contents';

/** Registers this VM and starts the periodic work. */
export function startFleetWork(options: FleetWorkOptions): FleetWork {
  const { self, backend, peers, followContext, timings, table, now, log, count } = options;
  const row = { store: followContext.store, table, now, log };
  const executorClaim = createExecutorClaim({ ...row, key: EXECUTOR_KEY, self, count });
  const contentKeeper = createContentKeeper({
    ...row,
    key: CONTENT_KEY,
    suspicions: backend.contentSuspicions,
  });
  const membership = followMembership({
    ...followContext.optionsFor(table, () => timings().peerWaitMs),
    batchDelayMs: () => timings().peerSettleMs,
    self,
    peers,
    claim: executorClaim,
    executorKey: EXECUTOR_KEY,
    contentKeeper,
    contentKey: CONTENT_KEY,
  });
  const placer = createPlacer({ ...options, registry: backend.registry });
  const runTask = createGatewayTask({
    ...options,
    membership,
    executorClaim,
    placer,
    contentKeeper,
  });
  const timer = setInterval(runTask, options.intervalMs);
  return {
    release: () => Promise.all([executorClaim.release(), membership.unregister()]),
    stop: () => {
      clearInterval(timer);
    },
  };
}
