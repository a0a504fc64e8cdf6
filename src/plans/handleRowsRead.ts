/** Passes rows that were read to the handler for the call. */

import type { ReadResult } from '../contracts/table';
import type { Decision } from '../decisions/decision';
import type { Occurrence } from '../decisions/primitive';
import { createAnswer, createRefusal, STATUS } from './answers';
import { handleAuditRead } from './handleAuditRead';
import { handleVmRead } from './handleEngineAnswer';
import { handlePlanRead } from './handlePlanRead';
import { handleLeasesRead } from './handleLeasesRead';
import type { OpenCall } from './openCall';
import type { PlanEffect } from './planMessage';
import { decodePlanRecord } from './planRows';
import type { Plans } from './planState';
import { handleLeaseRead } from './renewLease';
import {
  handleAuditRefreshed,
  handleCaughtUp,
  handleHeadRefreshed,
  handleMarkerRead,
} from './sendWrite';
import { startExecution } from './startExecution';

type PlansDecision = Decision<Plans, PlanEffect>;
type Readers = {
  readonly [Type in OpenCall['type']]?: (
    state: Plans,
    call: Extract<OpenCall, { readonly type: Type }>,
    result: ReadResult,
    at: Occurrence,
  ) => PlansDecision;
};

const readers: Readers = {
  settle: (state, { write, sentAtMs }, result, at) =>
    handleMarkerRead(state, write, sentAtMs, result, at),
  'catch-up': (state, { write }, result, at) => handleCaughtUp(state, write, result, at),
  'refresh-head': (state, { write }, result) => handleHeadRefreshed(state, write, result),
  'refresh-audit': (state, { write }, result, at) => handleAuditRefreshed(state, write, result, at),
  'find-plan': handlePlanRead,
  'list-plans': listPlans,
  'read-audit': handleAuditRead,
  scan: (state, _call, result, at) => handleLeasesRead(state, result, at),
  'find-taken': (state, { taken }, result, at) => startExecution(state, taken, result, at),
  'find-lease': handleLeaseRead,
  'read-vm': handleVmRead,
};

/** Calls the handler for the type of the call. */
export function handleRowsRead(
  state: Plans,
  call: OpenCall,
  result: ReadResult,
  at: Occurrence,
): PlansDecision {
  const read = readers[call.type] as
    | ((state: Plans, call: OpenCall, result: ReadResult, at: Occurrence) => PlansDecision)
    | undefined;
  return read === undefined ? { state, effects: [] } : read(state, call, result, at);
}

function listPlans(
  state: Plans,
  { call }: Extract<OpenCall, { readonly type: 'list-plans' }>,
  result: ReadResult,
): PlansDecision {
  if (result.type === 'unavailable') {
    const refusal = createRefusal(call, STATUS.unavailable, 'store-unavailable', result.detail);
    return { state, effects: [refusal] };
  }
  const plans = result.rows
    .map((row) => decodePlanRecord(row.value))
    .map(({ plan, status, step, confirmedBy, cause, reason }) => ({
      id: plan.id,
      summary: plan.summary,
      operator: plan.operator,
      status,
      step,
      steps: plan.steps.length,
      confirmedBy,
      cause,
      reason,
    }));
  return { state, effects: [createAnswer(call, STATUS.ok, { plans })] };
}
