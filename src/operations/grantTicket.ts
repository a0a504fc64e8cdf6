/** Grants a ticket under which a caller numbers its operations; this VM owns them. */

import type { CallId } from '../decisions/primitive';
import type { WorkspaceId } from '../workspaces/workspace';
import type { OperationsState } from './operationsState';
import { refuseCall } from './refuseCall';
import { signTicket } from './signTicket';
import { step, type OperationsStep } from './step';
import { getRefusalReason } from './getRefusalReason';

/** Signs the next ticket with the current key; a VM that accepts no new work grants none. */
export function grantTicket(
  state: OperationsState,
  call: CallId,
  workspace: WorkspaceId,
): OperationsStep {
  const reason = state.isDraining ? 'draining' : getRefusalReason(state);
  if (reason !== undefined) {
    const detail = 'This VM takes no new work';
    return refuseCall(state, call, { outcome: 'not-run', reason, detail });
  }
  const { vm, incarnation, ticketKeys } = state.options;
  const [key = ''] = ticketKeys;
  const ticket = signTicket({ workspace, vm, incarnation, serial: state.nextSerial }, key);
  const next = { ...state, nextSerial: state.nextSerial + 1 };
  return step(next, { type: 'grant-ticket', call, ticket });
}
