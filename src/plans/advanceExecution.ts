/** Advances a plan that this VM executes as far as is possible now. */

import type { Decision } from '../decisions/decision';
import type { Occurrence } from '../decisions/primitive';
import type { Execution } from './execution';
import type { PlanId, PlanStep } from './plan';
import { LEASE_MS, RENEW_AFTER_MS, STEP_RETRY_MS } from './planLimits';
import type { PlanEffect } from './planMessage';
import type { PlanRecord } from './planRecord';
import type { Plans } from './planState';
import { renewLease } from './renewLease';
import { runStep } from './runStep';
import { writeTransition } from './writeTransition';

type PlansDecision = Decision<Plans, PlanEffect>;

/** Returns the steps that a plan runs now: its own, or its undo steps. */
export function getCurrentSteps({ status, undo, plan }: PlanRecord): readonly PlanStep[] {
  return status === 'undoing' ? undo : plan.steps;
}

/** Name of the timer that advances a plan. */
export function formatExecutionTimer(plan: PlanId): string {
  return `execution/${plan}`;
}

/**
 * Runs the next action of a plan: renews the lease, runs the current step, or closes the plan.
 * While a write is open it only restarts the timer.
 */
export function advanceExecution(state: Plans, plan: PlanId, at: Occurrence): PlansDecision {
  const execution = state.executions.get(plan);
  if (execution === undefined) return { state, effects: [] };
  const timer: PlanEffect = {
    type: 'set-timer',
    timer: formatExecutionTimer(plan),
    afterMs: STEP_RETRY_MS,
  };
  const step = runNextAction(state, execution, at);
  return { state: step.state, effects: [timer, ...step.effects] };
}

function runNextAction(state: Plans, execution: Execution, at: Occurrence): PlansDecision {
  if (execution.isWriting) return { state, effects: [] };
  const renewAtMs = execution.leaseUntilMs - LEASE_MS + RENEW_AFTER_MS;
  if (at.atMs >= renewAtMs) return renewLease(state, execution, at);
  if (execution.isAwaitingReply || at.atMs < execution.pauseUntilMs) return { state, effects: [] };
  const { record } = execution;
  const step = getCurrentSteps(record)[record.step];
  if (step === undefined) return writeTransition(state, execution, { type: 'close' }, at);
  return runStep(state, execution, step, at);
}
