/** Cancels a plan: a proposed one is put away, a running one is undone, an undoing one abandoned. */

import type { RowVersion } from '../contracts/table';
import type { Decision } from '../decisions/decision';
import type { Occurrence } from '../decisions/primitive';
import { refuse, STATUS } from './answers';
import { auditBody } from './auditBody';
import { refuseSettled } from './confirmPlan';
import { nextMarker } from './nextMarker';
import type { Asker } from './openCall';
import type { PlanEffect } from './planMessage';
import type { PlanRecord, PlanStatus } from './planRecord';
import type { Plans } from './planState';
import { sendWrite } from './sendWrite';
import { startUndo } from './startUndo';

type Canceller = (record: PlanRecord, cause: string) => PlanRecord;

/** What cancelling makes of a plan; the final ones stay as they are. */
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

/** Cancels; the holder of a running plan finds the row changed and goes on with the undoing. */
export function cancelPlan(
  state: Plans,
  record: PlanRecord,
  planVersion: RowVersion,
  { call, operator, wallMs }: Asker,
  at: Occurrence,
): Decision<Plans, PlanEffect> {
  const cancel = CANCELLERS[record.status];
  if (cancel === undefined) return { state, effects: [refuseSettled(call, record)] };
  if (record.status !== 'proposed' && operator.role !== 'confirm') {
    const detail = `${operator.name} has role ${operator.role}; cancelling a ${record.status} plan takes role confirm`;
    return { state, effects: [refuse(call, STATUS.forbidden, 'role-too-low', detail)] };
  }
  const cause = `cancelled by ${operator.name}`;
  const body = auditBody(record, {
    wallMs,
    who: operator.name,
    action: 'cancelled',
    what: record.plan.summary,
  });
  return sendWrite(
    state,
    {
      id: nextMarker(state, at),
      record: cancel(record, cause),
      planVersion,
      audit: [body],
      purpose: { type: 'cancel-plan', call, operator, wallMs },
      races: 0,
      isDoubtful: false,
      startedAtMs: at.atMs,
    },
    at,
  );
}
