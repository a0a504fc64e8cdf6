/** Keeps the lease of a plan, and notices there when the plan was cancelled. */

import type { ReadResult, Row, TransactionResult } from '../contracts/table';
import type { Decision } from '../decisions/decision';
import type { Occurrence } from '../decisions/primitive';
import { driveExecution, executionTimer } from './driveExecution';
import type { Execution } from './execution';
import { adoptRow } from './finishAdvance';
import { nextMarker } from './nextMarker';
import type { OpenCall } from './openCall';
import { openCallAs } from './openCallAs';
import type { PlanId } from './plan';
import { LEASE_MS, STEP_RETRY_MS } from './planLimits';
import type { PlanEffect } from './planMessage';
import { LEASES_TABLE, PLANS_TABLE, type Lease } from './planRows';
import type { Plans } from './planState';
import { dropExecution, setExecution } from './setExecution';

type Step = Decision<Plans, PlanEffect>;
type Renew = Extract<OpenCall, { readonly type: 'renew' | 'find-lease' }>;

/** Writes the lease's row anew; both its version and the plan's must be the ones last seen. */
export function renewLease(state: Plans, execution: Execution, at: Occurrence): Step {
  const plan = execution.record.plan.id;
  const marker = nextMarker(state, at);
  const { holder } = state.options;
  const lease: Lease = { holder, fencing: execution.fencing, marker };
  const opened = openCallAs(setExecution(state, execution, { isWriting: true }), {
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

/** Goes on when the table answered a renewal. */
export function handleRenewed(
  state: Plans,
  call: Renew,
  result: TransactionResult,
  at: Occurrence,
): Step {
  const execution = state.executions.get(call.plan);
  if (execution === undefined) return { state, effects: [] };
  if (result.type === 'committed') {
    const leaseUntilMs = call.sentAtMs + LEASE_MS;
    const fields = { leaseVersion: result.versions[0] ?? 0, leaseUntilMs, isWriting: false };
    return driveExecution(setExecution(state, execution, fields), call.plan, at);
  }
  if (result.type === 'unavailable') return retryLater(state, execution);
  const planRow =
    result.type === 'conflict' ? result.rows.find((row) => row.table === PLANS_TABLE) : undefined;
  if (planRow === undefined) return findLease(state, call);
  const adopted = adoptRow(state, execution, planRow, at);
  if (!adopted.state.executions.has(call.plan)) return adopted;
  const found = findLease(adopted.state, call);
  return { state: found.state, effects: [...adopted.effects, ...found.effects] };
}

/** Reads the lease's row to see whose it is. */
export function findLease(
  state: Plans,
  { plan, sentAtMs, marker }: Pick<Renew, 'plan' | 'sentAtMs' | 'marker'>,
): Step {
  const opened = openCallAs(state, { type: 'find-lease', plan, sentAtMs, marker });
  return {
    state: opened.state,
    effects: [{ type: 'read-rows', call: opened.id, table: LEASES_TABLE, keys: [plan] }],
  };
}

/** Goes on when the lease's row was read: still ours, or lost. */
export function handleLeaseFound(
  state: Plans,
  call: Renew,
  result: ReadResult,
  at: Occurrence,
): Step {
  const execution = state.executions.get(call.plan);
  if (execution === undefined) return { state, effects: [] };
  if (result.type === 'unavailable') return retryLater(state, execution);
  const row = result.rows[0];
  if (row === undefined) return dropExecution(state, call.plan, 'the plan is over');
  if (!isOwn(state, execution, row)) return lost(state, call.plan);
  const isThisWrite = (JSON.parse(row.value) as Lease).marker === call.marker;
  const leaseUntilMs = isThisWrite ? call.sentAtMs + LEASE_MS : execution.leaseUntilMs;
  const fields = { leaseVersion: row.version, leaseUntilMs, isWriting: false };
  return driveExecution(setExecution(state, execution, fields), call.plan, at);
}

function isOwn(state: Plans, { fencing }: Execution, row: Row): boolean {
  const lease = JSON.parse(row.value) as Lease;
  return lease.holder === state.options.holder && lease.fencing === fencing;
}

function lost(state: Plans, plan: PlanId): Step {
  const dropped = dropExecution(state, plan, 'another VM holds the lease');
  const count: PlanEffect = { type: 'count', counter: 'leases_lost', by: 1 };
  return { state: dropped.state, effects: [count, ...dropped.effects] };
}

function retryLater(state: Plans, execution: Execution): Step {
  const timer = executionTimer(execution.record.plan.id);
  return {
    state: setExecution(state, execution, { isWriting: false }),
    effects: [{ type: 'set-timer', timer, afterMs: STEP_RETRY_MS }],
  };
}
