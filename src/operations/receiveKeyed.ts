/** Takes in a call under the caller's own key, with no ticket. */

import type { Occurrence } from '../decisions/primitive';
import type { FoundMethod } from './findMethod';
import type { PlainCall } from './operationMessage';
import type { OperationsState } from './operationsState';
import { refuseCall } from './refuseCall';
import type { OperationsStep } from './step';

/** Refuses the call as not-run: keys are not claimed yet. */
export function receiveKeyed(
  state: OperationsState,
  call: PlainCall,
  found: FoundMethod,
  at: Occurrence,
): OperationsStep {
  return refuseCall(state, call.call, {
    outcome: 'not-run',
    reason: 'keys-unavailable',
    detail: `${found.type} at ${at.atMs}: use an id under a ticket`,
  });
}
