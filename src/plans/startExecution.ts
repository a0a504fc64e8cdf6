/** Starts to execute a plan whose lease this VM has claimed. */

import type { ReadResult } from '../contracts/table';
import type { Decision } from '../decisions/decision';
import type { Occurrence } from '../decisions/primitive';
import { advanceExecution } from './advanceExecution';
import type { Execution } from './execution';
import type { ClaimedLease } from './openCall';
import { registerCall } from './registerCall';
import { LEASE_MS } from './planLimits';
import type { PlanEffect } from './planMessage';
import { decodePlanRecord, PLANS_TABLE } from './planRows';
import type { Plans } from './planState';

/** Reads the plan's row. */
export function readClaimedPlan(state: Plans, taken: ClaimedLease): Decision<Plans, PlanEffect> {
  const opened = registerCall(state, { type: 'find-taken', taken });
  const keys = [taken.plan];
  return {
    state: opened.state,
    effects: [{ type: 'read-rows', call: opened.id, table: PLANS_TABLE, keys }],
  };
}

/**
 * Handles the plan's row. If the table does not answer, the lease is left to expire, and this VM or
 * another claims it again.
 */
export function startExecution(
  state: Plans,
  taken: ClaimedLease,
  result: ReadResult,
  at: Occurrence,
): Decision<Plans, PlanEffect> {
  const row = result.type === 'rows' ? result.rows[0] : undefined;
  if (row === undefined) return { state, effects: [] };
  const execution: Execution = {
    record: decodePlanRecord(row.value),
    planVersion: row.version,
    leaseVersion: taken.leaseVersion,
    fencing: taken.fencing,
    leaseUntilMs: taken.sentAtMs + LEASE_MS,
    isWriting: false,
    isAwaitingReply: false,
    needsRead: taken.isTakeover,
    tries: 0,
    orderPendingUntilMs: 0,
    pauseUntilMs: 0,
    stepSinceMs: at.atMs,
    idleSinceMs: undefined,
  };
  const next = { ...state, executions: state.executions.set(taken.plan, execution) };
  const fields = { plan: taken.plan, fencing: taken.fencing };
  const log = { type: 'log', level: 'info', message: 'lease claimed', fields } as const;
  const driven = advanceExecution(next, taken.plan, at);
  return { state: driven.state, effects: [log, ...driven.effects] };
}
