/** Moves a plan that this VM carries out as far as it goes now. */

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
import { writeAdvance } from './writeAdvance';

type Step = Decision<Plans, PlanEffect>;

/** Steps that a plan runs now: its own, or those that take it back. */
export function currentSteps({ status, undo, plan }: PlanRecord): readonly PlanStep[] {
  return status === 'undoing' ? undo : plan.steps;
}

/** Name of the timer that drives a plan. */
export function executionTimer(plan: PlanId): string {
  return `execution/${plan}`;
}

/**
 * Does the next thing for a plan: renew the lease, run the step, or close the plan. Does nothing
 * while a write is open; the timer comes back in any case.
 */
export function driveExecution(state: Plans, plan: PlanId, at: Occurrence): Step {
  const execution = state.executions.get(plan);
  if (execution === undefined) return { state, effects: [] };
  const timer: PlanEffect = {
    type: 'set-timer',
    timer: executionTimer(plan),
    afterMs: STEP_RETRY_MS,
  };
  const step = nextMove(state, execution, at);
  return { state: step.state, effects: [timer, ...step.effects] };
}

function nextMove(state: Plans, execution: Execution, at: Occurrence): Step {
  if (execution.isWriting) return { state, effects: [] };
  const renewAtMs = execution.leaseUntilMs - LEASE_MS + RENEW_AFTER_MS;
  if (at.atMs >= renewAtMs) return renewLease(state, execution, at);
  if (execution.isAsking || at.atMs < execution.pauseUntilMs) return { state, effects: [] };
  const { record } = execution;
  const step = currentSteps(record)[record.step];
  if (step === undefined) return writeAdvance(state, execution, { type: 'close' }, at);
  return runStep(state, execution, step, at);
}
