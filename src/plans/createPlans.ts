/** Creates the initial state of the plans component of a node. */

import { Map as ImmutableMap, Set as ImmutableSet } from 'immutable';
import { createConfiguration } from '../configuration/createConfiguration';
import { NO_AUDIT_HEAD, NO_HEAD } from './updateHeads';
import type { Plans, PlansOptions } from './planState';

/**
 * Creates an empty state, which table rows and the fleet component fill.
 *
 * @param options identity of this VM
 */
export function createPlans(options: PlansOptions): Plans {
  return {
    options,
    configuration: createConfiguration(),
    accepted: 0,
    wallOffsetMs: undefined,
    calls: 0,
    open: ImmutableMap(),
    head: NO_HEAD,
    auditHead: NO_AUDIT_HEAD,
    executions: ImmutableMap(),
    observed: ImmutableMap(),
    lost: ImmutableMap(),
    proposed: ImmutableSet(),
    scanAtMs: 0,
  };
}
