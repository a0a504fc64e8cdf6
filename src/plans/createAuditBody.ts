/** Builds the body of an audit entry about a plan. */

import type { AuditAction, AuditBody } from './auditEntry';
import type { Plan } from './plan';
import type { PlanRecord } from './planRecord';

export interface AuditDetail {
  readonly wallMs: number;
  readonly who: string;
  readonly action: AuditAction;
  readonly what: string;
  readonly fencing?: number;
}

/** Adds plan, services and reason; the revisions are set when the entry is written. */
export function createAuditBody(record: PlanRecord, detail: AuditDetail): AuditBody {
  return {
    ...detail,
    plan: record.plan.id,
    services: listAffectedServices(record.plan),
    why: record.reason,
    revisionBefore: 0,
    revisionAfter: 0,
  };
}

function listAffectedServices(plan: Plan): readonly string[] {
  const changed = plan.steps.flatMap((step) =>
    step.type === 'commit'
      ? step.changes.filter(({ kind }) => kind === 'service').map(({ key }) => key)
      : [],
  );
  const predicted = plan.throughput.map(({ service }) => service);
  return [...new Set([...changed, ...predicted])].sort();
}
