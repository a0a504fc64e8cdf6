/** Goes on with a step when an engine, or the row of a VM, has answered. */

import type { ReadResult } from '../contracts/table';
import type { Decision } from '../decisions/decision';
import type { Occurrence } from '../decisions/primitive';
import { digestObject } from './digestObject';
import { currentSteps, driveExecution } from './driveExecution';
import type { Execution } from './execution';
import type { OpenCall } from './openCall';
import {
  DRAIN_POLL_MS,
  LOST_DRAIN_MS,
  MAX_ORDER_TRIES,
  REPORT_LAG_MS,
  STEP_RETRY_MS,
} from './planLimits';
import type { PlanEffect, PlanEvent } from './planMessage';
import type { VmOrder } from './planRows';
import type { Plans } from './planState';
import { markStep, waitForDrain } from './runStep';
import { dropExecution, setExecution } from './setExecution';
import { writeAdvance } from './writeAdvance';

type Step = Decision<Plans, PlanEffect>;
type Call = Extract<OpenCall, { readonly type: 'order' | 'read-engine' | 'order-vm' | 'read-vm' }>;
type OrderAnswer = Extract<PlanEvent, { readonly type: 'order-answered' }>['result'];
type EngineReading = Extract<PlanEvent, { readonly type: 'engine-read' }>['result'];
type OnOrder<Type extends OrderAnswer['type']> = (
  state: Plans,
  execution: Execution,
  result: Extract<OrderAnswer, { readonly type: Type }>,
  at: Occurrence,
) => Step;

const onOrder: { readonly [Type in OrderAnswer['type']]: OnOrder<Type> } = {
  done: (state, execution, { state: held }, at) => {
    const settled = setExecution(state, execution, { quietUntilMs: 0 });
    const next = settled.executions.get(execution.record.plan.id) ?? execution;
    const what = `done, holds ${JSON.stringify(held)}`;
    return finishStep(settled, next, what, at);
  },
  fenced: (state, execution, { highest }) =>
    dropExecution(state, execution.record.plan.id, `fenced by ${highest}`),
  expired: tryAgain,
  impossible: (state, execution, { detail }, at) => {
    if (execution.record.status === 'undoing') return tryAgain(state, execution, undefined, at);
    const settled = setExecution(state, execution, { quietUntilMs: 0 });
    const next = settled.executions.get(execution.record.plan.id) ?? execution;
    return undo(settled, next, `the engine cannot do it: ${detail}`, at);
  },
  unreachable: tryAgain,
  lost: tryAgain,
};

/** Goes on when an order was answered, or its answer was lost. */
export function handleOrderAnswered(
  state: Plans,
  call: Call,
  result: OrderAnswer,
  at: Occurrence,
): Step {
  const current = heard(state, call);
  if (current === undefined) return { state, effects: [] };
  if (!current.isCurrent) return driveExecution(current.state, call.plan, at);
  const handle = onOrder[result.type] as OnOrder<OrderAnswer['type']>;
  return handle(current.state, current.execution, result, at);
}

/** Goes on when an engine was read: it holds what is wanted, is drained, or neither. */
export function handleEngineRead(
  state: Plans,
  call: Call,
  result: EngineReading,
  at: Occurrence,
): Step {
  const current = heard(state, call);
  if (current === undefined) return { state, effects: [] };
  if (!current.isCurrent) return driveExecution(current.state, call.plan, at);
  const { execution } = current;
  const step = currentSteps(execution.record)[execution.record.step];
  if (step?.type === 'drain') return drained(current.state, execution, result, at);
  if (step?.type !== 'order') return driveExecution(current.state, call.plan, at);
  if (result.type === 'unreachable') return tryAgain(current.state, execution, undefined, at);
  const next = setExecution(current.state, execution, { needsRead: false });
  const read = next.executions.get(call.plan) ?? execution;
  if (digestObject(result.state) === digestObject(step.wanted)) {
    return finishStep(next, read, 'found done', at);
  }
  return driveExecution(next, call.plan, at);
}

/** Goes on when the order to a VM was written: from now on its row is read. */
export function handleVmOrdered(state: Plans, call: Call, at: Occurrence): Step {
  const current = heard(state, call);
  if (current === undefined) return { state, effects: [] };
  const next = setExecution(current.state, current.execution, { tries: 1 });
  return driveExecution(next, call.plan, at);
}

/** Goes on when the row of a VM was read. */
export function handleVmRead(state: Plans, call: Call, result: ReadResult, at: Occurrence): Step {
  const current = heard(state, call);
  if (current === undefined) return { state, effects: [] };
  if (!current.isCurrent) return driveExecution(current.state, call.plan, at);
  const row = result.type === 'rows' ? result.rows[0] : undefined;
  const isMissing = result.type === 'rows' && row === undefined;
  if (row !== undefined && (JSON.parse(row.value) as VmOrder).state === 'leaving') {
    return finishStep(current.state, current.execution, 'the VM leaves', at);
  }
  const pauseUntilMs = at.atMs + DRAIN_POLL_MS;
  const tries = isMissing ? 0 : 1;
  return {
    state: setExecution(current.state, current.execution, { pauseUntilMs, tries }),
    effects: [],
  };
}

/** Notes that the message is answered, and whether it was for the step that runs now. */
function heard(
  state: Plans,
  call: Call,
):
  | { readonly state: Plans; readonly execution: Execution; readonly isCurrent: boolean }
  | undefined {
  const execution = state.executions.get(call.plan);
  if (execution === undefined) return undefined;
  const next = { ...execution, isAsking: false };
  const isCurrent = markStep(execution.record) === call.step;
  return { state: setExecution(state, next, {}), execution: next, isCurrent };
}

function drained(state: Plans, execution: Execution, result: EngineReading, at: Occurrence): Step {
  if (result.type === 'unreachable' && isLost(state, execution, at)) {
    return finishStep(state, execution, 'lost, nothing is left to drain', at);
  }
  const isIdle = result.type === 'state' && result.running === 0;
  const sinceMs = isIdle ? (execution.idleSinceMs ?? at.atMs) : undefined;
  const next = setExecution(state, execution, { idleSinceMs: sinceMs });
  const noted = next.executions.get(execution.record.plan.id) ?? execution;
  if (sinceMs === undefined || at.atMs - sinceMs < REPORT_LAG_MS)
    return waitForDrain(next, noted, at);
  return finishStep(next, noted, 'drained', at);
}

/** Whether the engine of the step has been lost, as the fleet side says too, for long enough. */
function isLost(state: Plans, { record, stepSinceMs }: Execution, at: Occurrence): boolean {
  const step = currentSteps(record)[record.step];
  const engine =
    step?.type === 'drain' ? step.backendServer : step?.type === 'order' ? step.engine : '';
  return state.lost.has(engine) && at.atMs - stepSinceMs > LOST_DRAIN_MS;
}

/** Writes that the step is done; waits where another write, a renewal, is open. */
function finishStep(state: Plans, execution: Execution, what: string, at: Occurrence): Step {
  if (execution.isWriting)
    return { state: setExecution(state, execution, { needsRead: true }), effects: [] };
  return writeAdvance(state, execution, { type: 'done', what }, at);
}

function undo(state: Plans, execution: Execution, cause: string, at: Occurrence): Step {
  if (execution.isWriting) return { state, effects: [] };
  return writeAdvance(state, execution, { type: 'undo', cause }, at);
}

function tryAgain(state: Plans, execution: Execution, _result: unknown, at: Occurrence): Step {
  const tries = execution.tries + 1;
  const step = currentSteps(execution.record)[execution.record.step];
  const isFarewell = step?.type === 'order' && step.wanted.leaving;
  if (isFarewell && isLost(state, execution, at)) {
    return finishStep(state, execution, 'lost, it could not be told to leave', at);
  }
  const isHopeless = tries >= MAX_ORDER_TRIES && execution.record.status === 'running';
  if (isHopeless) return undo(state, execution, `no answer after ${tries} tries`, at);
  const pauseUntilMs = at.atMs + STEP_RETRY_MS;
  return { state: setExecution(state, execution, { tries, pauseUntilMs }), effects: [] };
}
