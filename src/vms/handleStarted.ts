/** Handles the start of a VM. */

import type { Fleet, FleetDecision } from './fleet';
import type { FleetEvent } from './fleetMessage';
import { handleTick } from './handleTick';
import { withMembership } from './withMembership';

type Started = Extract<FleetEvent, { readonly type: 'started' }>;

/** Stores the VM's own record and runs the tasks that are due: ping seeds, read the list and head row. */
export function handleStarted(fleet: Fleet, event: Started): FleetDecision {
  const { vm, seeds, atMs, seed } = event;
  const availability = { ...fleet.availability, resumedAtMs: atMs };
  const started = {
    ...fleet,
    vm,
    seeds,
    isStarted: true,
    startedAtMs: atMs,
    clockMs: atMs,
    availability,
  };
  const state = withMembership(started, { isChanged: true, nextRoundAtMs: atMs });
  return handleTick(state, atMs, seed);
}
