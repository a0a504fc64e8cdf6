/** Renews the lease of a plan, which also detects that the plan was cancelled. */

import type { ReadResult, Row, TransactionResult } from '../contracts/table';
import type { Decision } from '../decisions/decision';
import type { Occurrence } from '../decisions/primitive';
import { advanceExecution, formatExecutionTimer } from './advanceExecution';
import type { Execution } from './execution';
import { applyPlanRow } from './handleTransitionWritten';
import { createMarker } from './createMarker';
import type { OpenCall } from './openCall';
import { registerCall } from './registerCall';
import type { PlanId } from './plan';
import { LEASE_MS, STEP_RETRY_MS } from './planLimits';
import type { PlanEffect } from './planMessage';
import { LEASES_TABLE, PLANS_TABLE, type Lease } from './planRows';
import type { Plans } from './planState';
import { dropExecution, setExecution } from './setExecution';

type PlansDecision = Decision<Plans, PlanEffect>;
type Renew = Extract<OpenCall, { readonly type: 'renew' | 'find-lease' }>;

/**
 * Rewrites the lease's row, on condition that it and the plan's row still have the versions last
 * read.
 */
export function renewLease(state: Plans, execution: Execution, at: Occurrence): PlansDecision {
  const plan = execution.record.plan.id;
  const marker = createMarker(state, at);
  const { holder } = state.options;
  const lease: Lease = { holder, fencing: execution.fencing, marker };
  const opened = registerCall(setExecution(state, execution, { isWriting: true }), {
    type: 'renew',
    plan,
    sentAtMs: at.atMs,
    marker,
  });
  const transaction = {
    conditions: [
      { table: LEASES_TABLE, key: plan, version: execution.leaseVersion },
      { table: PLANS_TABLE, key: plan, version: execution.planVersion },
    ],
    writes: [{ table: LEASES_TABLE, key: plan, value: JSON.stringify(lease) }],
  };
  return { state: opened.state, effects: [{ type: 'transact', call: opened.id, transaction }] };
}

/** Handles the result of a renewal. */
export function handleRenewed(
  state: Plans,
  call: Renew,
  result: TransactionResult,
  at: Occurrence,
): PlansDecision {
  const execution = state.executions.get(call.plan);
  if (execution === undefined) return { state, effects: [] };
  if (result.type === 'committed') {
    const leaseUntilMs = call.sentAtMs + LEASE_MS;
    const fields = { leaseVersion: result.versions[0] ?? 0, leaseUntilMs, isWriting: false };
    return advanceExecution(setExecution(state, execution, fields), call.plan, at);
  }
  if (result.type === 'unavailable') return retryLater(state, execution);
  const planRow =
    result.type === 'conflict' ? result.rows.find((row) => row.table === PLANS_TABLE) : undefined;
  if (planRow === undefined) return readLease(state, call);
  const applied = applyPlanRow(state, execution, planRow, at);
  if (!applied.state.executions.has(call.plan)) return applied;
  const found = readLease(applied.state, call);
  return { state: found.state, effects: [...applied.effects, ...found.effects] };
}

/** Reads the lease's row to find its holder. */
export function readLease(
  state: Plans,
  { plan, sentAtMs, marker }: Pick<Renew, 'plan' | 'sentAtMs' | 'marker'>,
): PlansDecision {
  const opened = registerCall(state, { type: 'find-lease', plan, sentAtMs, marker });
  return {
    state: opened.state,
    effects: [{ type: 'read-rows', call: opened.id, table: LEASES_TABLE, keys: [plan] }],
  };
}

/** Handles the lease's row, which shows whether this VM still holds the lease. */
export function handleLeaseRead(
  state: Plans,
  call: Renew,
  result: ReadResult,
  at: Occurrence,
): PlansDecision {
  const execution = state.executions.get(call.plan);
  if (execution === undefined) return { state, effects: [] };
  if (result.type === 'unavailable') return retryLater(state, execution);
  const row = result.rows[0];
  if (row === undefined) return dropExecution(state, call.plan, 'the plan is over');
  if (!isOwnLease(state, execution, row)) return dropLostLease(state, call.plan);
  const isThisWrite = (JSON.parse(row.value) as Lease).marker === call.marker;
  const leaseUntilMs = isThisWrite ? call.sentAtMs + LEASE_MS : execution.leaseUntilMs;
  const fields = { leaseVersion: row.version, leaseUntilMs, isWriting: false };
  return advanceExecution(setExecution(state, execution, fields), call.plan, at);
}

function isOwnLease(state: Plans, { fencing }: Execution, row: Row): boolean {
  const lease = JSON.parse(row.value) as Lease;
  return lease.holder === state.options.holder && lease.fencing === fencing;
}

function dropLostLease(state: Plans, plan: PlanId): PlansDecision {
  const dropped = dropExecution(state, plan, 'another VM holds the lease');
  const count: PlanEffect = { type: 'count', counter: 'leases_lost', by: 1 };
  return { state: dropped.state, effects: [count, ...dropped.effects] };
}

function retryLater(state: Plans, execution: Execution): PlansDecision {
  const timer = formatExecutionTimer(execution.record.plan.id);
  return {
    state: setExecution(state, execution, { isWriting: false }),
    effects: [{ type: 'set-timer', timer, afterMs: STEP_RETRY_MS }],
  };
}
