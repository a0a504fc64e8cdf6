/** The plans side of a node that has just started. */

import { Map as ImmutableMap, Set as ImmutableSet } from 'immutable';
import { createConfiguration } from '../configuration/createConfiguration';
import { NO_AUDIT_HEAD, NO_HEAD } from './learnHeads';
import type { Plans, PlansOptions } from './planState';

/**
 * Starts with nothing known; rows and the fleet side fill it.
 *
 * @param options who this VM is
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
