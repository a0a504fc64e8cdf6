/** Scans for running plans that no VM executes. */

import type { Decision } from '../decisions/decision';
import { registerCall } from './registerCall';
import { MAX_RUNNING_PLANS } from './planLimits';
import type { PlanEffect } from './planMessage';
import { LEASES_TABLE } from './planRows';
import type { Plans } from './planState';

/** Reads all leases, the counter of fencing numbers and the orders to VMs. */
export function scanLeases(state: Plans): Decision<Plans, PlanEffect> {
  const opened = registerCall(state, { type: 'scan' });
  const range = { table: LEASES_TABLE, from: '', limit: MAX_RUNNING_PLANS };
  return { state: opened.state, effects: [{ type: 'read-range', call: opened.id, range }] };
}
