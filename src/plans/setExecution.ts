/** Updates or drops a plan that this VM executes. */

import type { Decision } from '../decisions/decision';
import type { Execution } from './execution';
import type { PlanId } from './plan';
import type { PlanEffect } from './planMessage';
import type { Plans } from './planState';

/** Sets some fields of an execution. */
export function setExecution(
  state: Plans,
  execution: Execution,
  fields: Partial<Execution>,
): Plans {
  const next = { ...execution, ...fields };
  return { ...state, executions: state.executions.set(execution.record.plan.id, next) };
}

/** Stops executing a plan on this VM; its rows stay unchanged. */
export function dropExecution(
  state: Plans,
  plan: PlanId,
  cause: string,
): Decision<Plans, PlanEffect> {
  const fields = { plan, cause };
  return {
    state: { ...state, executions: state.executions.delete(plan) },
    effects: [
      { type: 'clear-timer', timer: `execution/${plan}` },
      { type: 'log', level: 'info', message: 'plan execution stopped', fields },
    ],
  };
}
