/** Executes the current step of a plan as far as is possible now. */

import type { Decision } from '../decisions/decision';
import type { CallId, Occurrence } from '../decisions/primitive';
import { getCurrentSteps } from './advanceExecution';
import type { Execution } from './execution';
import type { OpenCall, StepMark } from './openCall';
import { registerCall } from './registerCall';
import type { PlanStep } from './plan';
import {
  MAX_DRAIN_MS,
  DRAIN_POLL_MS,
  LEASE_MARGIN_MS,
  ORDER_EXPIRY_MS,
  MAX_CLOCK_SKEW_MS,
} from './planLimits';
import type { PlanEffect } from './planMessage';
import type { PlanRecord } from './planRecord';
import { LEASES_TABLE, VM_KEY_PREFIX, type VmOrder } from './planRows';
import type { Plans } from './planState';
import { setExecution } from './setExecution';
import { writeTransition } from './writeTransition';

type PlansDecision = Decision<Plans, PlanEffect>;
type Runners = {
  readonly [Type in PlanStep['type']]: (
    state: Plans,
    execution: Execution,
    step: Extract<PlanStep, { readonly type: Type }>,
    at: Occurrence,
  ) => PlansDecision;
};

const doNothing = (state: Plans): PlansDecision => ({ state, effects: [] });

const runners: Runners = {
  commit: (state, execution, step, at) => {
    const what = step.changes.map(({ type, kind, key }) => `${type} ${kind} ${key}`).join(', ');
    return writeTransition(state, execution, { type: 'done', what, commit: step }, at);
  },
  order: runOrder,
  drain: (state, execution, step, at) => {
    if (state.accepted < execution.record.revision) return continueDrain(state, execution, at);
    const isEngine = state.configuration.engine.has(step.backendServer);
    if (isEngine) return readEngine(state, execution, step.backendServer, at);
    if (state.configuration.backendServer.has(step.backendServer)) {
      const sinceMs = execution.idleSinceMs ?? at.atMs;
      const next = setExecution(state, execution, { idleSinceMs: sinceMs });
      if (at.atMs - sinceMs < step.waitMs) return doNothing(next);
    }
    const what = `${step.backendServer} is drained`;
    return writeTransition(state, execution, { type: 'done', what }, at);
  },
  'drain-vm': (state, execution, { vm }, at) => {
    if (!execution.record.isStepStarted) {
      return writeTransition(
        state,
        execution,
        { type: 'begin', what: `${vm} is told to leave` },
        at,
      );
    }
    const key = `${VM_KEY_PREFIX}${vm}/${execution.record.plan.id}`;
    return orderVm(state, execution, key, at);
  },
};

/** Runs a step; safe to repeat, because every step names the wanted state. */
export function runStep(
  state: Plans,
  execution: Execution,
  step: PlanStep,
  at: Occurrence,
): PlansDecision {
  const run = runners[step.type] as (
    state: Plans,
    execution: Execution,
    step: PlanStep,
    at: Occurrence,
  ) => PlansDecision;
  return run(state, execution, step, at);
}

/** Identifies the current step, to recognize late replies. */
export function createStepMark({ status, step }: PlanRecord): StepMark {
  return `${status}/${step}`;
}

function runOrder(
  state: Plans,
  execution: Execution,
  step: PlanStep & { type: 'order' },
  at: Occurrence,
): PlansDecision {
  const { record, fencing } = execution;
  if (!record.isStepStarted) {
    const what = `order ${step.engine} to ${JSON.stringify(step.wanted)}`;
    return writeTransition(state, execution, { type: 'begin', what }, at);
  }
  if (execution.needsRead) return readEngine(state, execution, step.engine, at);
  const isUndoing = record.status === 'undoing';
  if (isUndoing && at.atMs < execution.orderPendingUntilMs) return doNothing(state);
  if (at.atMs + LEASE_MARGIN_MS > execution.leaseUntilMs) return doNothing(state);
  const server = state.configuration.backendServer.get(step.engine);
  if (server === undefined || state.wallOffsetMs === undefined) return doNothing(state);
  const opened = openStepCall(state, execution, 'order', at);
  const order = {
    engine: step.engine,
    order: `${record.plan.id}/${createStepMark(record)}`,
    fencing,
    expiresAtMs: at.atMs + state.wallOffsetMs + ORDER_EXPIRY_MS,
    wanted: step.wanted,
  };
  const { address } = server;
  return {
    state: opened.state,
    effects: [
      { type: 'count', counter: 'engine_orders', by: 1 },
      { type: 'order-engine', call: opened.id, server: step.engine, address, order },
    ],
  };
}

/** Registers a call for a message of the current step. */
function openStepCall(
  state: Plans,
  execution: Execution,
  type: 'order' | 'read-engine' | 'order-vm' | 'read-vm',
  at: Occurrence,
): { readonly state: Plans; readonly id: CallId } {
  const isOrder = type === 'order';
  const orderPendingUntilMs = isOrder
    ? at.atMs + ORDER_EXPIRY_MS + MAX_CLOCK_SKEW_MS
    : execution.orderPendingUntilMs;
  const next = setExecution(state, execution, { isAwaitingReply: true, orderPendingUntilMs });
  const step = createStepMark(execution.record);
  const call: OpenCall = { type, plan: execution.record.plan.id, step };
  return registerCall(next, call);
}

function readEngine(
  state: Plans,
  execution: Execution,
  engine: string,
  at: Occurrence,
): PlansDecision {
  const server = state.configuration.backendServer.get(engine);
  if (server === undefined) return doNothing(state);
  const opened = openStepCall(state, execution, 'read-engine', at);
  const { address } = server;
  return {
    state: opened.state,
    effects: [{ type: 'read-engine', call: opened.id, server: engine, address }],
  };
}

/** Continues to wait for a drain. Undoes a running plan if the drain takes too long. */
export function continueDrain(state: Plans, execution: Execution, at: Occurrence): PlansDecision {
  const isOver = at.atMs - execution.stepSinceMs > MAX_DRAIN_MS;
  if (isOver && execution.record.status === 'running') {
    const step = getCurrentSteps(execution.record)[execution.record.step];
    const name = step?.type === 'drain' ? step.backendServer : '';
    return writeTransition(state, execution, { type: 'undo', cause: `${name} did not drain` }, at);
  }
  const pauseUntilMs = at.atMs + DRAIN_POLL_MS;
  return { state: setExecution(state, execution, { pauseUntilMs }), effects: [] };
}

/**
 * Writes the row that orders a VM to leave; once it is written, reads whether the VM has
 * acknowledged it.
 */
function orderVm(state: Plans, execution: Execution, key: string, at: Occurrence): PlansDecision {
  if (execution.tries > 0) {
    const opened = openStepCall(state, execution, 'read-vm', at);
    const read = { type: 'read-rows', call: opened.id, table: LEASES_TABLE, keys: [key] } as const;
    return { state: opened.state, effects: [read] };
  }
  const opened = openStepCall(state, execution, 'order-vm', at);
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
  return { state: opened.state, effects: [{ type: 'transact', call: opened.id, transaction }] };
}
