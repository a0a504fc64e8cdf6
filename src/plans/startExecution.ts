/** Begins to carry out a plan whose lease this VM has taken. */

import type { ReadResult } from '../contracts/table';
import type { Decision } from '../decisions/decision';
import type { Occurrence } from '../decisions/primitive';
import { driveExecution } from './driveExecution';
import type { Execution } from './execution';
import type { TakenLease } from './openCall';
import { openCallAs } from './openCallAs';
import { LEASE_MS } from './planLimits';
import type { PlanEffect } from './planMessage';
import { decodePlanRecord, PLANS_TABLE } from './planRows';
import type { Plans } from './planState';

/** Reads the plan's row. */
export function findTaken(state: Plans, taken: TakenLease): Decision<Plans, PlanEffect> {
  const opened = openCallAs(state, { type: 'find-taken', taken });
  const keys = [taken.plan];
  return {
    state: opened.state,
    effects: [{ type: 'read-rows', call: opened.id, table: PLANS_TABLE, keys }],
  };
}

/**
 * Goes on when the row was read. Where the table is silent the lease is left to lapse; it is taken
 * anew, by this VM or another.
 */
export function startExecution(
  state: Plans,
  taken: TakenLease,
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
    isAsking: false,
    needsRead: taken.isTakeover,
    tries: 0,
    quietUntilMs: 0,
    pauseUntilMs: 0,
    stepSinceMs: at.atMs,
    idleSinceMs: undefined,
  };
  const next = { ...state, executions: state.executions.set(taken.plan, execution) };
  const fields = { plan: taken.plan, fencing: taken.fencing };
  const log = { type: 'log', level: 'info', message: 'lease taken', fields } as const;
  const driven = driveExecution(next, taken.plan, at);
  return { state: driven.state, effects: [log, ...driven.effects] };
}
