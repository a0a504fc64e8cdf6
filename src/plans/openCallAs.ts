/** Opens a call: notes what it is for, and gives it an id. */

import type { CallId } from '../decisions/primitive';
import type { OpenCall } from './openCall';
import type { Plans } from './planState';

/**
 * Notes an open call under a fresh id.
 *
 * @returns the state that waits for it, and its id, which also names a timer
 */
export function openCallAs(state: Plans, call: OpenCall): { state: Plans; id: CallId } {
  const id = `plans-${state.calls + 1}`;
  return {
    id,
    state: { ...state, calls: state.calls + 1, open: state.open.set(id, call) },
  };
}
