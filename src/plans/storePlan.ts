/** Stores a proposed plan with its entry in the audit trail. */

import type { Decision } from '../decisions/decision';
import type { Occurrence } from '../decisions/primitive';
import { createAuditBody } from './createAuditBody';
import type { Intent } from './intent';
import type { LedgerPurpose } from './ledgerWrite';
import { createMarker } from './createMarker';
import type { Plan } from './plan';
import type { PlanEffect } from './planMessage';
import type { PlanRecord } from './planRecord';
import type { Plans } from './planState';
import { sendWrite } from './sendWrite';

export interface NewPlan {
  readonly plan: Plan;
  readonly intent: Intent;
  readonly reason: string;
  readonly wallMs: number;
  readonly purpose: LedgerPurpose;
}

/** Writes the row of a new plan. */
export function storePlan(
  state: Plans,
  { plan, intent, reason, wallMs, purpose }: NewPlan,
  at: Occurrence,
): Decision<Plans, PlanEffect> {
  const record: PlanRecord = {
    plan,
    intent,
    reason,
    status: 'proposed',
    undo: [],
    step: 0,
    isStepStarted: false,
    confirmedBy: '',
    cause: '',
    revision: 0,
    markers: [],
  };
  const isRepair = purpose.type === 'propose-repair';
  const action = isRepair ? 'proposed-repair' : 'planned';
  const body = createAuditBody(record, { wallMs, who: plan.operator, action, what: plan.summary });
  const id = createMarker(state, at);
  return sendWrite(
    state,
    {
      id,
      record,
      planVersion: 0,
      audit: [body],
      purpose,
      headRetries: 0,
      isAmbiguous: false,
      startedAtMs: at.atMs,
    },
    at,
  );
}
