/** Carries out the current step of a plan as far as it goes now. */

import type { Decision } from '../decisions/decision';
import type { CallId, Occurrence } from '../decisions/primitive';
import { currentSteps } from './driveExecution';
import type { Execution } from './execution';
import type { OpenCall, StepMark } from './openCall';
import { openCallAs } from './openCallAs';
import type { PlanStep } from './plan';
import {
  DRAIN_LIMIT_MS,
  DRAIN_POLL_MS,
  LEASE_MARGIN_MS,
  ORDER_EXPIRY_MS,
  CLOCK_SKEW_MS,
} from './planLimits';
import type { PlanEffect } from './planMessage';
import type { PlanRecord } from './planRecord';
import { LEASES_TABLE, VM_KEY_PREFIX, type VmOrder } from './planRows';
import type { Plans } from './planState';
import { setExecution } from './setExecution';
import { writeAdvance } from './writeAdvance';

type Step = Decision<Plans, PlanEffect>;
type Runners = {
  readonly [Type in PlanStep['type']]: (
    state: Plans,
    execution: Execution,
    step: Extract<PlanStep, { readonly type: Type }>,
    at: Occurrence,
  ) => Step;
};

const NOTHING_YET = (state: Plans): Step => ({ state, effects: [] });

const runners: Runners = {
  commit: (state, execution, step, at) => {
    const what = step.changes.map(({ type, kind, key }) => `${type} ${kind} ${key}`).join(', ');
    return writeAdvance(state, execution, { type: 'done', what, commit: step }, at);
  },
  order: runOrder,
  drain: (state, execution, step, at) => {
    if (state.accepted < execution.record.revision) return waitForDrain(state, execution, at);
    const isEngine = state.configuration.engine.has(step.backendServer);
    if (isEngine) return readEngine(state, execution, step.backendServer, at);
    if (state.configuration.backendServer.has(step.backendServer)) {
      const sinceMs = execution.idleSinceMs ?? at.atMs;
      const next = setExecution(state, execution, { idleSinceMs: sinceMs });
      if (at.atMs - sinceMs < step.waitMs) return NOTHING_YET(next);
    }
    const what = `${step.backendServer} is drained`;
    return writeAdvance(state, execution, { type: 'done', what }, at);
  },
  'drain-vm': (state, execution, { vm }, at) => {
    if (!execution.record.isStepStarted) {
      return writeAdvance(state, execution, { type: 'begin', what: `${vm} is told to leave` }, at);
    }
    const key = `${VM_KEY_PREFIX}${vm}/${execution.record.plan.id}`;
    return orderVm(state, execution, key, at);
  },
};

/** Runs a step; safe to repeat, because every step names the wanted state. */
export function runStep(state: Plans, execution: Execution, step: PlanStep, at: Occurrence): Step {
  const run = runners[step.type] as (
    state: Plans,
    execution: Execution,
    step: PlanStep,
    at: Occurrence,
  ) => Step;
  return run(state, execution, step, at);
}

/** Names the current step, to tell late answers apart. */
export function markStep({ status, step }: PlanRecord): StepMark {
  return `${status}/${step}`;
}

function runOrder(
  state: Plans,
  execution: Execution,
  step: PlanStep & { type: 'order' },
  at: Occurrence,
): Step {
  const { record, fencing } = execution;
  if (!record.isStepStarted) {
    const what = `order ${step.engine} to ${JSON.stringify(step.wanted)}`;
    return writeAdvance(state, execution, { type: 'begin', what }, at);
  }
  if (execution.needsRead) return readEngine(state, execution, step.engine, at);
  const isUndoing = record.status === 'undoing';
  if (isUndoing && at.atMs < execution.quietUntilMs) return NOTHING_YET(state);
  if (at.atMs + LEASE_MARGIN_MS > execution.leaseUntilMs) return NOTHING_YET(state);
  const server = state.configuration.backendServer.get(step.engine);
  if (server === undefined || state.wallOffsetMs === undefined) return NOTHING_YET(state);
  const asked = ask(state, execution, 'order', at);
  const order = {
    engine: step.engine,
    order: `${record.plan.id}/${markStep(record)}`,
    fencing,
    expiresAtMs: at.atMs + state.wallOffsetMs + ORDER_EXPIRY_MS,
    wanted: step.wanted,
  };
  const { address } = server;
  return {
    state: asked.state,
    effects: [
      { type: 'count', counter: 'engine_orders', by: 1 },
      { type: 'order-engine', call: asked.id, server: step.engine, address, order },
    ],
  };
}

/** Opens a message for the current step. */
function ask(
  state: Plans,
  execution: Execution,
  type: 'order' | 'read-engine' | 'order-vm' | 'read-vm',
  at: Occurrence,
): { readonly state: Plans; readonly id: CallId } {
  const isOrder = type === 'order';
  const quietUntilMs = isOrder ? at.atMs + ORDER_EXPIRY_MS + CLOCK_SKEW_MS : execution.quietUntilMs;
  const next = setExecution(state, execution, { isAsking: true, quietUntilMs });
  const step = markStep(execution.record);
  const call: OpenCall = { type, plan: execution.record.plan.id, step };
  return openCallAs(next, call);
}

function readEngine(state: Plans, execution: Execution, engine: string, at: Occurrence): Step {
  const server = state.configuration.backendServer.get(engine);
  if (server === undefined) return NOTHING_YET(state);
  const asked = ask(state, execution, 'read-engine', at);
  const { address } = server;
  return {
    state: asked.state,
    effects: [{ type: 'read-engine', call: asked.id, server: engine, address }],
  };
}

/** Waits on; a plan that is not being undone is undone where the drain takes too long. */
export function waitForDrain(state: Plans, execution: Execution, at: Occurrence): Step {
  const isOver = at.atMs - execution.stepSinceMs > DRAIN_LIMIT_MS;
  if (isOver && execution.record.status === 'running') {
    const step = currentSteps(execution.record)[execution.record.step];
    const name = step?.type === 'drain' ? step.backendServer : '';
    return writeAdvance(state, execution, { type: 'undo', cause: `${name} did not drain` }, at);
  }
  const pauseUntilMs = at.atMs + DRAIN_POLL_MS;
  return { state: setExecution(state, execution, { pauseUntilMs }), effects: [] };
}

/** Writes the row that tells a VM to leave, unless it is there; then sees whether it has. */
function orderVm(state: Plans, execution: Execution, key: string, at: Occurrence): Step {
  if (execution.tries > 0) {
    const asked = ask(state, execution, 'read-vm', at);
    const read = { type: 'read-rows', call: asked.id, table: LEASES_TABLE, keys: [key] } as const;
    return { state: asked.state, effects: [read] };
  }
  const asked = ask(state, execution, 'order-vm', at);
  const plan = execution.record.plan.id;
  const value: VmOrder = { plan, state: 'told' };
  const table = LEASES_TABLE;
  const transaction = {
    conditions: [
      { table, key: plan, version: execution.leaseVersion },
      { table, key, version: 0 },
    ],
    writes: [{ table, key, value: JSON.stringify(value) }],
  };
  return { state: asked.state, effects: [{ type: 'transact', call: asked.id, transaction }] };
}
