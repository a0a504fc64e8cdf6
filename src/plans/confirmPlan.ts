/** Confirms a plan in one transaction that checks its preconditions. */

import type { RowVersion } from '../contracts/table';
import type { Decision } from '../decisions/decision';
import type { Occurrence } from '../decisions/primitive';
import { createRefusal, STATUS } from './answers';
import { createAuditBody } from './createAuditBody';
import { listClaimKeys } from './listClaimKeys';
import type { LedgerWrite } from './ledgerWrite';
import { createMarker } from './createMarker';
import type { RequestContext } from './openCall';
import type { PlanEffect } from './planMessage';
import type { PlanRecord } from './planRecord';
import type { Plans } from './planState';
import { sendWrite } from './sendWrite';

/**
 * Confirms a proposed plan. A plan of a single commit is done with this write. For a longer plan,
 * its first commit, its lease and its claims are written together.
 */
export function confirmPlan(
  state: Plans,
  record: PlanRecord,
  planVersion: RowVersion,
  context: RequestContext,
  at: Occurrence,
): Decision<Plans, PlanEffect> {
  const { call, operator, wallMs } = context;
  if (record.status !== 'proposed')
    return { state, effects: [createFinalPlanRefusal(call, record)] };
  const { plan } = record;
  const first = plan.steps[0];
  const isCommit = first?.type === 'commit';
  const isSingleCommit = isCommit && plan.steps.length === 1;
  const marker = createMarker(state, at);
  const body = createAuditBody(record, {
    wallMs,
    who: operator.name,
    action: 'confirmed',
    what: plan.summary,
  });
  const write: LedgerWrite = {
    id: marker,
    record: {
      ...record,
      status: isSingleCommit ? 'done' : 'running',
      step: isCommit ? 1 : 0,
      confirmedBy: operator.name,
    },
    planVersion,
    claims: { action: isSingleCommit ? 'require' : 'take', keys: listClaimKeys(plan) },
    audit: [body],
    commit: {
      operator: operator.name,
      reason: record.reason,
      changes: first?.type === 'commit' ? first.changes : [],
      preconditions: plan.preconditions,
    },
    purpose: { type: 'confirm-plan', call, operator, wallMs },
    headRetries: 0,
    isAmbiguous: false,
    startedAtMs: at.atMs,
  };
  if (isSingleCommit) return sendWrite(state, write, at);
  const lease = { expected: 0, value: { holder: '', fencing: 0, marker } };
  return sendWrite(state, { ...write, lease }, at);
}

/** Refuses a request for a plan that is no longer open to it. */
export function createFinalPlanRefusal(call: string, record: PlanRecord): PlanEffect {
  const by = record.confirmedBy === '' ? '' : ` (confirmed by ${record.confirmedBy})`;
  const detail = `Plan ${record.plan.id} is ${record.status}${by}`;
  return createRefusal(call, STATUS.conflict, 'plan-settled', detail, { status: record.status });
}
