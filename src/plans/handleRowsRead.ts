/** Goes on when rows were read, by what they were read for. */

import type { ReadResult } from '../contracts/table';
import type { Decision } from '../decisions/decision';
import type { Occurrence } from '../decisions/primitive';
import { answer, refuse, STATUS } from './answers';
import { handleAuditRead } from './handleAuditRead';
import { handleVmRead } from './handleEngineAnswer';
import { handleFoundPlan } from './handleFoundPlan';
import { handleScan } from './handleScan';
import type { OpenCall } from './openCall';
import type { PlanEffect } from './planMessage';
import { decodePlanRecord } from './planRows';
import type { Plans } from './planState';
import { handleLeaseFound } from './renewLease';
import {
  handleAuditRefreshed,
  handleCaughtUp,
  handleHeadRefreshed,
  handleSettled,
} from './sendWrite';
import { startExecution } from './startExecution';

type Step = Decision<Plans, PlanEffect>;
type Readers = {
  readonly [Type in OpenCall['type']]?: (
    state: Plans,
    call: Extract<OpenCall, { readonly type: Type }>,
    result: ReadResult,
    at: Occurrence,
  ) => Step;
};

const readers: Readers = {
  settle: (state, { write, sentAtMs }, result, at) =>
    handleSettled(state, write, sentAtMs, result, at),
  'catch-up': (state, { write }, result, at) => handleCaughtUp(state, write, result, at),
  'refresh-head': (state, { write }, result) => handleHeadRefreshed(state, write, result),
  'refresh-audit': (state, { write }, result, at) => handleAuditRefreshed(state, write, result, at),
  'find-plan': handleFoundPlan,
  'list-plans': listPlans,
  'read-audit': handleAuditRead,
  scan: (state, _call, result, at) => handleScan(state, result, at),
  'find-taken': (state, { taken }, result, at) => startExecution(state, taken, result, at),
  'find-lease': handleLeaseFound,
  'read-vm': handleVmRead,
};

/** Hands rows to whoever asked for them. */
export function handleRowsRead(
  state: Plans,
  call: OpenCall,
  result: ReadResult,
  at: Occurrence,
): Step {
  const read = readers[call.type] as
    ((state: Plans, call: OpenCall, result: ReadResult, at: Occurrence) => Step) | undefined;
  return read === undefined ? { state, effects: [] } : read(state, call, result, at);
}

function listPlans(
  state: Plans,
  { call }: Extract<OpenCall, { readonly type: 'list-plans' }>,
  result: ReadResult,
): Step {
  if (result.type === 'unavailable') {
    const refusal = refuse(call, STATUS.unavailable, 'store-unavailable', result.detail);
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
  return { state, effects: [answer(call, STATUS.ok, { plans })] };
}
