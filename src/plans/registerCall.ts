/** Registers an open call under a new id. */

import type { CallId } from '../decisions/primitive';
import type { OpenCall } from './openCall';
import type { Plans } from './planState';

/**
 * Registers a call.
 *
 * @returns the state with the open call, and the id of the call, which also names a timer
 */
export function registerCall(state: Plans, call: OpenCall): { state: Plans; id: CallId } {
  const id = `plans-${state.calls + 1}`;
  return {
    id,
    state: { ...state, calls: state.calls + 1, open: state.open.set(id, call) },
  };
}
