/** Continues a step after an engine replied, or after the row of a VM was written or read. */

import type { ReadResult } from '../contracts/table';
import type { Decision } from '../decisions/decision';
import type { Occurrence } from '../decisions/primitive';
import { digestObject } from './digestObject';
import { getCurrentSteps, advanceExecution } from './advanceExecution';
import type { Execution } from './execution';
import type { OpenCall } from './openCall';
import {
  DRAIN_POLL_MS,
  UNREACHABLE_DRAIN_MS,
  MAX_ORDER_TRIES,
  MAX_REPORT_LAG_MS,
  STEP_RETRY_MS,
} from './planLimits';
import type { PlanEffect, PlanEvent } from './planMessage';
import type { VmOrder } from './planRows';
import type { Plans } from './planState';
import { createStepMark, continueDrain } from './runStep';
import { dropExecution, setExecution } from './setExecution';
import { writeTransition } from './writeTransition';

type PlansDecision = Decision<Plans, PlanEffect>;
type Call = Extract<OpenCall, { readonly type: 'order' | 'read-engine' | 'order-vm' | 'read-vm' }>;
type OrderAnswer = Extract<PlanEvent, { readonly type: 'order-answered' }>['result'];
type EngineReading = Extract<PlanEvent, { readonly type: 'engine-read' }>['result'];
type OrderResultHandler<Type extends OrderAnswer['type']> = (
  state: Plans,
  execution: Execution,
  result: Extract<OrderAnswer, { readonly type: Type }>,
  at: Occurrence,
) => PlansDecision;

const orderResultHandlers: { readonly [Type in OrderAnswer['type']]: OrderResultHandler<Type> } = {
  done: (state, execution, { state: held }, at) => {
    const updated = setExecution(state, execution, { orderPendingUntilMs: 0 });
    const next = updated.executions.get(execution.record.plan.id) ?? execution;
    const what = `done, holds ${JSON.stringify(held)}`;
    return writeStepDone(updated, next, what, at);
  },
  fenced: (state, execution, { highest }) =>
    dropExecution(state, execution.record.plan.id, `fenced by ${highest}`),
  expired: retryStep,
  impossible: (state, execution, { detail }, at) => {
    if (execution.record.status === 'undoing') return retryStep(state, execution, undefined, at);
    const updated = setExecution(state, execution, { orderPendingUntilMs: 0 });
    const next = updated.executions.get(execution.record.plan.id) ?? execution;
    return writeUndo(updated, next, `the engine cannot do it: ${detail}`, at);
  },
  unreachable: retryStep,
  lost: retryStep,
};

/** Handles the reply to an order, or the loss of the reply. */
export function handleOrderAnswered(
  state: Plans,
  call: Call,
  result: OrderAnswer,
  at: Occurrence,
): PlansDecision {
  const current = recordReply(state, call);
  if (current === undefined) return { state, effects: [] };
  if (!current.isCurrent) return advanceExecution(current.state, call.plan, at);
  const handle = orderResultHandlers[result.type] as OrderResultHandler<OrderAnswer['type']>;
  return handle(current.state, current.execution, result, at);
}

/** Handles the state read from an engine, which may show that the step is done. */
export function handleEngineRead(
  state: Plans,
  call: Call,
  result: EngineReading,
  at: Occurrence,
): PlansDecision {
  const current = recordReply(state, call);
  if (current === undefined) return { state, effects: [] };
  if (!current.isCurrent) return advanceExecution(current.state, call.plan, at);
  const { execution } = current;
  const step = getCurrentSteps(execution.record)[execution.record.step];
  if (step?.type === 'drain') return checkDrained(current.state, execution, result, at);
  if (step?.type !== 'order') return advanceExecution(current.state, call.plan, at);
  if (result.type === 'unreachable') return retryStep(current.state, execution, undefined, at);
  const next = setExecution(current.state, execution, { needsRead: false });
  const read = next.executions.get(call.plan) ?? execution;
  if (digestObject(result.state) === digestObject(step.wanted)) {
    return writeStepDone(next, read, 'found done', at);
  }
  return advanceExecution(next, call.plan, at);
}

/** Handles the written order to a VM; from now on the step reads its row. */
export function handleVmOrdered(state: Plans, call: Call, at: Occurrence): PlansDecision {
  const current = recordReply(state, call);
  if (current === undefined) return { state, effects: [] };
  const next = setExecution(current.state, current.execution, { tries: 1 });
  return advanceExecution(next, call.plan, at);
}

/** Handles the row of a VM, which shows whether the VM has acknowledged the order to leave. */
export function handleVmRead(
  state: Plans,
  call: Call,
  result: ReadResult,
  at: Occurrence,
): PlansDecision {
  const current = recordReply(state, call);
  if (current === undefined) return { state, effects: [] };
  if (!current.isCurrent) return advanceExecution(current.state, call.plan, at);
  const row = result.type === 'rows' ? result.rows[0] : undefined;
  const isMissing = result.type === 'rows' && row === undefined;
  if (row !== undefined && (JSON.parse(row.value) as VmOrder).state === 'leaving') {
    return writeStepDone(current.state, current.execution, 'the VM leaves', at);
  }
  const pauseUntilMs = at.atMs + DRAIN_POLL_MS;
  const tries = isMissing ? 0 : 1;
  return {
    state: setExecution(current.state, current.execution, { pauseUntilMs, tries }),
    effects: [],
  };
}

/** Records the reply to a message, and determines whether it belongs to the current step. */
function recordReply(
  state: Plans,
  call: Call,
):
  | { readonly state: Plans; readonly execution: Execution; readonly isCurrent: boolean }
  | undefined {
  const execution = state.executions.get(call.plan);
  if (execution === undefined) return undefined;
  const next = { ...execution, isAwaitingReply: false };
  const isCurrent = createStepMark(execution.record) === call.step;
  return { state: setExecution(state, next, {}), execution: next, isCurrent };
}

function checkDrained(
  state: Plans,
  execution: Execution,
  result: EngineReading,
  at: Occurrence,
): PlansDecision {
  if (result.type === 'unreachable' && isEngineSuspected(state, execution, at)) {
    return writeStepDone(state, execution, 'lost, nothing is left to drain', at);
  }
  const isIdle = result.type === 'state' && result.running === 0;
  const sinceMs = isIdle ? (execution.idleSinceMs ?? at.atMs) : undefined;
  const next = setExecution(state, execution, { idleSinceMs: sinceMs });
  const updated = next.executions.get(execution.record.plan.id) ?? execution;
  if (sinceMs === undefined || at.atMs - sinceMs < MAX_REPORT_LAG_MS)
    return continueDrain(next, updated, at);
  return writeStepDone(next, updated, 'drained', at);
}

/**
 * Whether the fleet component also suspects the engine of the step, and the step has run for long
 * enough.
 */
function isEngineSuspected(
  state: Plans,
  { record, stepSinceMs }: Execution,
  at: Occurrence,
): boolean {
  const step = getCurrentSteps(record)[record.step];
  const engine =
    step?.type === 'drain' ? step.backendServer : step?.type === 'order' ? step.engine : '';
  return state.lost.has(engine) && at.atMs - stepSinceMs > UNREACHABLE_DRAIN_MS;
}

/**
 * Writes that the step is done. While another write, a lease renewal, is open, marks the engine to
 * be read again instead.
 */
function writeStepDone(
  state: Plans,
  execution: Execution,
  what: string,
  at: Occurrence,
): PlansDecision {
  if (execution.isWriting)
    return { state: setExecution(state, execution, { needsRead: true }), effects: [] };
  return writeTransition(state, execution, { type: 'done', what }, at);
}

function writeUndo(
  state: Plans,
  execution: Execution,
  cause: string,
  at: Occurrence,
): PlansDecision {
  if (execution.isWriting) return { state, effects: [] };
  return writeTransition(state, execution, { type: 'undo', cause }, at);
}

function retryStep(
  state: Plans,
  execution: Execution,
  _result: unknown,
  at: Occurrence,
): PlansDecision {
  const tries = execution.tries + 1;
  const step = getCurrentSteps(execution.record)[execution.record.step];
  const isLeaveOrder = step?.type === 'order' && step.wanted.leaving;
  if (isLeaveOrder && isEngineSuspected(state, execution, at)) {
    return writeStepDone(state, execution, 'lost, it could not be told to leave', at);
  }
  const hasNoTriesLeft = tries >= MAX_ORDER_TRIES && execution.record.status === 'running';
  if (hasNoTriesLeft) return writeUndo(state, execution, `no answer after ${tries} tries`, at);
  const pauseUntilMs = at.atMs + STEP_RETRY_MS;
  return { state: setExecution(state, execution, { tries, pauseUntilMs }), effects: [] };
}
