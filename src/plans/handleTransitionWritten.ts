/** Continues a plan after a write of its lease holder. */

import type { Row } from '../contracts/table';
import type { Decision } from '../decisions/decision';
import type { Occurrence } from '../decisions/primitive';
import { advanceExecution, formatExecutionTimer } from './advanceExecution';
import type { Execution } from './execution';
import type { LedgerPurpose, LedgerResult, LedgerWrite } from './ledgerWrite';
import { LEASE_MS, STEP_RETRY_MS } from './planLimits';
import type { PlanEffect } from './planMessage';
import type { PlanRecord } from './planRecord';
import { decodePlanRecord } from './planRows';
import type { Plans } from './planState';
import { readLease } from './renewLease';
import { dropExecution, setExecution } from './setExecution';
import { writeTransition } from './writeTransition';

type PlansDecision = Decision<Plans, PlanEffect>;
type Handler<Type extends LedgerResult['type']> = (
  state: Plans,
  execution: Execution,
  write: LedgerWrite,
  result: Extract<LedgerResult, { readonly type: Type }>,
  at: Occurrence,
) => PlansDecision;

const handlers: { readonly [Type in LedgerResult['type']]: Handler<Type> } = {
  committed: handleCommitted,
  'plan-changed': (state, execution, write, { row }, at) => {
    const applied = applyPlanRow(state, execution, row, at);
    const { id } = execution.record.plan;
    if (!applied.state.executions.has(id)) return applied;
    const found = readLease(applied.state, createLeaseQuery(write, execution));
    return { state: found.state, effects: [...applied.effects, ...found.effects] };
  },
  'lease-lost': (state, execution, write) => readLease(state, createLeaseQuery(write, execution)),
  claimed: (state, execution) => retryLater(state, execution),
  'preconditions-failed': (state, execution, _write, { failed }, at) => {
    const transition = { type: 'undo', cause: failed.join('; ') } as const;
    return writeTransition(state, execution, transition, at);
  },
  unavailable: (state, execution) => retryLater(state, execution),
  unknown: (state, execution, write) => readLease(state, createLeaseQuery(write, execution)),
};

/** Continues a plan according to the result of the write. */
export function handleTransitionWritten(
  state: Plans,
  write: LedgerWrite,
  _purpose: LedgerPurpose,
  result: LedgerResult,
  at: Occurrence,
): PlansDecision {
  const execution = state.executions.get(write.record.plan.id);
  if (execution === undefined) return { state, effects: [] };
  const finish = handlers[result.type] as Handler<LedgerResult['type']>;
  return finish(state, execution, write, result, at);
}

function createLeaseQuery(
  { id, startedAtMs }: LedgerWrite,
  { record }: Execution,
): { readonly plan: string; readonly sentAtMs: number; readonly marker: string } {
  return { plan: record.plan.id, sentAtMs: startedAtMs, marker: id };
}

function handleCommitted(
  state: Plans,
  execution: Execution,
  write: LedgerWrite,
  result: Extract<LedgerResult, { readonly type: 'committed' }>,
  at: Occurrence,
): PlansDecision {
  const { record, planVersion, leaseVersion } = result;
  const { id } = record.plan;
  if (isFinal(record)) {
    const dropped = dropExecution(state, id, record.status);
    const labels = { status: record.status };
    const count: PlanEffect = { type: 'count', counter: 'plans_finished', by: 1, labels };
    return { state: dropped.state, effects: [count, ...dropped.effects] };
  }
  const isNewStep = formatStepMark(record) !== formatStepMark(execution.record);
  const stepFields = isNewStep ? { tries: 0, stepSinceMs: at.atMs, idleSinceMs: undefined } : {};
  const moved = setExecution(state, execution, { ...stepFields, record, planVersion });
  if (leaseVersion === 0) return readLease(moved, createLeaseQuery(write, execution));
  const current = moved.executions.get(id) ?? execution;
  const leaseUntilMs = result.sentAtMs + LEASE_MS;
  const next = setExecution(moved, current, { leaseVersion, leaseUntilMs, isWriting: false });
  return advanceExecution(next, id, at);
}

function formatStepMark({ status, step }: PlanRecord): string {
  return `${status}/${step}`;
}

function isFinal({ status }: PlanRecord): boolean {
  return status === 'done' || status === 'undone' || status === 'cancelled';
}

/** Applies a change of the plan's row by another writer: a cancellation, or the end of the plan. */
export function applyPlanRow(
  state: Plans,
  execution: Execution,
  row: Row | undefined,
  at: Occurrence,
): PlansDecision {
  const { id } = execution.record.plan;
  if (row === undefined || row.version === 0) return dropExecution(state, id, 'its row is gone');
  const record = decodePlanRecord(row.value);
  if (isFinal(record)) return dropExecution(state, id, record.status);
  const fields = { record, planVersion: row.version, tries: 0, stepSinceMs: at.atMs };
  const next = setExecution(state, execution, { ...fields, idleSinceMs: undefined });
  return { state: next, effects: [] };
}

function retryLater(state: Plans, execution: Execution): PlansDecision {
  const timer = formatExecutionTimer(execution.record.plan.id);
  return {
    state: setExecution(state, execution, { isWriting: false }),
    effects: [{ type: 'set-timer', timer, afterMs: STEP_RETRY_MS }],
  };
}
