/** Confirms a plan: one transaction with its preconditions. */

import type { RowVersion } from '../contracts/table';
import type { Decision } from '../decisions/decision';
import type { Occurrence } from '../decisions/primitive';
import { refuse, STATUS } from './answers';
import { auditBody } from './auditBody';
import { claimKeys } from './claimKeys';
import type { LedgerWrite } from './ledgerWrite';
import { nextMarker } from './nextMarker';
import type { Asker } from './openCall';
import type { PlanEffect } from './planMessage';
import type { PlanRecord } from './planRecord';
import type { Plans } from './planState';
import { sendWrite } from './sendWrite';

/**
 * Confirms a proposed plan. A plan of one commit is done with it. A longer one is begun: its first
 * commit, its lease and its claims are written together.
 */
export function confirmPlan(
  state: Plans,
  record: PlanRecord,
  planVersion: RowVersion,
  asker: Asker,
  at: Occurrence,
): Decision<Plans, PlanEffect> {
  const { call, operator, wallMs } = asker;
  if (record.status !== 'proposed') return { state, effects: [refuseSettled(call, record)] };
  const { plan } = record;
  const first = plan.steps[0];
  const isCommit = first?.type === 'commit';
  const isShort = isCommit && plan.steps.length === 1;
  const marker = nextMarker(state, at);
  const body = auditBody(record, {
    wallMs,
    who: operator.name,
    action: 'confirmed',
    what: plan.summary,
  });
  const write: LedgerWrite = {
    id: marker,
    record: {
      ...record,
      status: isShort ? 'done' : 'running',
      step: isCommit ? 1 : 0,
      confirmedBy: operator.name,
    },
    planVersion,
    claims: { action: isShort ? 'require' : 'take', keys: claimKeys(plan) },
    audit: [body],
    commit: {
      operator: operator.name,
      reason: record.reason,
      changes: first?.type === 'commit' ? first.changes : [],
      preconditions: plan.preconditions,
    },
    purpose: { type: 'confirm-plan', call, operator, wallMs },
    races: 0,
    isDoubtful: false,
    startedAtMs: at.atMs,
  };
  if (isShort) return sendWrite(state, write, at);
  const lease = { expected: 0, value: { holder: '', fencing: 0, marker } };
  return sendWrite(state, { ...write, lease }, at);
}

/** Says that a plan is no longer open to confirm. */
export function refuseSettled(call: string, record: PlanRecord): PlanEffect {
  const by = record.confirmedBy === '' ? '' : ` (confirmed by ${record.confirmedBy})`;
  const detail = `Plan ${record.plan.id} is ${record.status}${by}`;
  return refuse(call, STATUS.conflict, 'plan-settled', detail, { status: record.status });
}
