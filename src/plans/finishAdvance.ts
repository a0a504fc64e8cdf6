/** Goes on with a plan when its holder's write has ended. */

import type { Row } from '../contracts/table';
import type { Decision } from '../decisions/decision';
import type { Occurrence } from '../decisions/primitive';
import { driveExecution, executionTimer } from './driveExecution';
import type { Execution } from './execution';
import type { LedgerPurpose, LedgerResult, LedgerWrite } from './ledgerWrite';
import { LEASE_MS, STEP_RETRY_MS } from './planLimits';
import type { PlanEffect } from './planMessage';
import type { PlanRecord } from './planRecord';
import { decodePlanRecord } from './planRows';
import type { Plans } from './planState';
import { findLease } from './renewLease';
import { dropExecution, setExecution } from './setExecution';
import { writeAdvance } from './writeAdvance';

type Step = Decision<Plans, PlanEffect>;
type Finish<Type extends LedgerResult['type']> = (
  state: Plans,
  execution: Execution,
  write: LedgerWrite,
  result: Extract<LedgerResult, { readonly type: Type }>,
  at: Occurrence,
) => Step;

const finishers: { readonly [Type in LedgerResult['type']]: Finish<Type> } = {
  committed: advanced,
  'plan-changed': (state, execution, write, { row }, at) => {
    const adopted = adoptRow(state, execution, row, at);
    const { id } = execution.record.plan;
    if (!adopted.state.executions.has(id)) return adopted;
    const found = findLease(adopted.state, leaseOf(write, execution));
    return { state: found.state, effects: [...adopted.effects, ...found.effects] };
  },
  'lease-lost': (state, execution, write) => findLease(state, leaseOf(write, execution)),
  claimed: (state, execution) => tryLater(state, execution),
  'preconditions-failed': (state, execution, _write, { failed }, at) => {
    const move = { type: 'undo', cause: failed.join('; ') } as const;
    return writeAdvance(state, execution, move, at);
  },
  unavailable: (state, execution) => tryLater(state, execution),
  unknown: (state, execution, write) => findLease(state, leaseOf(write, execution)),
};

/** Goes on by how the write ended. */
export function finishAdvance(
  state: Plans,
  write: LedgerWrite,
  _purpose: LedgerPurpose,
  result: LedgerResult,
  at: Occurrence,
): Step {
  const execution = state.executions.get(write.record.plan.id);
  if (execution === undefined) return { state, effects: [] };
  const finish = finishers[result.type] as Finish<LedgerResult['type']>;
  return finish(state, execution, write, result, at);
}

function leaseOf(
  { id, startedAtMs }: LedgerWrite,
  { record }: Execution,
): { readonly plan: string; readonly sentAtMs: number; readonly marker: string } {
  return { plan: record.plan.id, sentAtMs: startedAtMs, marker: id };
}

function advanced(
  state: Plans,
  execution: Execution,
  write: LedgerWrite,
  result: Extract<LedgerResult, { readonly type: 'committed' }>,
  at: Occurrence,
): Step {
  const { record, planVersion, leaseVersion } = result;
  const { id } = record.plan;
  if (isFinal(record)) {
    const dropped = dropExecution(state, id, record.status);
    const labels = { status: record.status };
    const count: PlanEffect = { type: 'count', counter: 'plans_finished', by: 1, labels };
    return { state: dropped.state, effects: [count, ...dropped.effects] };
  }
  const isNewStep = markOf(record) !== markOf(execution.record);
  const entered = isNewStep ? { tries: 0, stepSinceMs: at.atMs, idleSinceMs: undefined } : {};
  const moved = setExecution(state, execution, { ...entered, record, planVersion });
  if (leaseVersion === 0) return findLease(moved, leaseOf(write, execution));
  const held = moved.executions.get(id) ?? execution;
  const leaseUntilMs = result.sentAtMs + LEASE_MS;
  const next = setExecution(moved, held, { leaseVersion, leaseUntilMs, isWriting: false });
  return driveExecution(next, id, at);
}

function markOf({ status, step }: PlanRecord): string {
  return `${status}/${step}`;
}

function isFinal({ status }: PlanRecord): boolean {
  return status === 'done' || status === 'undone' || status === 'cancelled';
}

/** Takes over what someone else has made of the plan: a cancel, or its end. */
export function adoptRow(
  state: Plans,
  execution: Execution,
  row: Row | undefined,
  at: Occurrence,
): Step {
  const { id } = execution.record.plan;
  if (row === undefined || row.version === 0) return dropExecution(state, id, 'its row is gone');
  const record = decodePlanRecord(row.value);
  if (isFinal(record)) return dropExecution(state, id, record.status);
  const fields = { record, planVersion: row.version, tries: 0, stepSinceMs: at.atMs };
  const next = setExecution(state, execution, { ...fields, idleSinceMs: undefined });
  return { state: next, effects: [] };
}

function tryLater(state: Plans, execution: Execution): Step {
  const timer = executionTimer(execution.record.plan.id);
  return {
    state: setExecution(state, execution, { isWriting: false }),
    effects: [{ type: 'set-timer', timer, afterMs: STEP_RETRY_MS }],
  };
}
