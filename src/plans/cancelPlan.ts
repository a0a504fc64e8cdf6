/**
 * Cancels a plan: a proposed plan is withdrawn, a running plan is undone, and a plan that is being
 * undone skips its remaining undo steps.
 */

import type { RowVersion } from '../contracts/table';
import type { Decision } from '../decisions/decision';
import type { Occurrence } from '../decisions/primitive';
import { createRefusal, STATUS } from './answers';
import { createAuditBody } from './createAuditBody';
import { createFinalPlanRefusal } from './confirmPlan';
import { createMarker } from './createMarker';
import type { RequestContext } from './openCall';
import type { PlanEffect } from './planMessage';
import type { PlanRecord, PlanStatus } from './planRecord';
import type { Plans } from './planState';
import { sendWrite } from './sendWrite';
import { startUndo } from './startUndo';

type Canceller = (record: PlanRecord, cause: string) => PlanRecord;

/** How cancelling changes a record, by status. Plans with a final status cannot be cancelled. */
const CANCELLERS: Partial<Record<PlanStatus, Canceller>> = {
  proposed: (record, cause) => ({ ...record, status: 'cancelled', cause }),
  running: startUndo,
  undoing: (record, cause) => ({
    ...record,
    undo: [],
    step: 0,
    isStepStarted: false,
    cause: `${record.cause}; ${cause}, the rest of the undoing was abandoned`,
  }),
};

/**
 * Cancels a plan. The lease holder of a running plan detects the changed row and undoes the plan.
 */
export function cancelPlan(
  state: Plans,
  record: PlanRecord,
  planVersion: RowVersion,
  { call, operator, wallMs }: RequestContext,
  at: Occurrence,
): Decision<Plans, PlanEffect> {
  const cancel = CANCELLERS[record.status];
  if (cancel === undefined) return { state, effects: [createFinalPlanRefusal(call, record)] };
  if (record.status !== 'proposed' && operator.role !== 'confirm') {
    const detail = `${operator.name} has role ${operator.role}; cancelling a ${record.status} plan takes role confirm`;
    return { state, effects: [createRefusal(call, STATUS.forbidden, 'role-too-low', detail)] };
  }
  const cause = `cancelled by ${operator.name}`;
  const body = createAuditBody(record, {
    wallMs,
    who: operator.name,
    action: 'cancelled',
    what: record.plan.summary,
  });
  return sendWrite(
    state,
    {
      id: createMarker(state, at),
      record: cancel(record, cause),
      planVersion,
      audit: [body],
      purpose: { type: 'cancel-plan', call, operator, wallMs },
      headRetries: 0,
      isAmbiguous: false,
      startedAtMs: at.atMs,
    },
    at,
  );
}
