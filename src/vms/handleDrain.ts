/**
 * Drains a VM: it leaves new answers at once, refuses requests after older answers have expired, and is
 * drained when no work remains.
 */

import { chain } from './chain';
import type { Fleet, FleetDecision } from './fleet';
import { DRAIN_SPREAD_MS } from './fleetConstants';
import type { FleetEvent } from './fleetMessage';
import { sendUpdates } from './sendUpdates';
import { withMembership } from './withMembership';

type Event<Type extends FleetEvent['type']> = Extract<FleetEvent, { readonly type: Type }>;

/** Marks this VM as draining and notifies other VMs, which omit it from their answers. */
export function handleDrainStarted(fleet: Fleet, event: Event<'drain-started'>): FleetDecision {
  if (fleet.drain !== undefined) return { state: fleet, effects: [] };
  const { atMs, seed } = event;
  const addressesExpireAtMs = atMs + fleet.options.answerValidMs + DRAIN_SPREAD_MS;
  const drain = { addressesExpireAtMs, running: undefined, isDone: false };
  const marked = withMembership(
    { ...fleet, drain },
    { version: fleet.membership.version + 1, isChanged: true },
  );
  return chain(marked, (state) => sendUpdates(state, atMs, seed));
}

/**
 * Records how much work still runs on this VM. A count from before the answers expired is ignored: a VM
 * that refused work for another reason may have accepted more since.
 */
export function handleWorkCounted(fleet: Fleet, event: Event<'work-counted'>): FleetDecision {
  const { drain, availability } = fleet;
  const isFinal =
    drain !== undefined && event.atMs >= drain.addressesExpireAtMs && !availability.isAccepting;
  if (!isFinal) return { state: fleet, effects: [] };
  const state = { ...fleet, drain: { ...drain, running: event.running } };
  return completeDrain(state, event.atMs, event.seed);
}

/**
 * Completes the drain once answers have expired, new work is refused, and a count taken since is 0.
 *
 * @param fleet the state
 * @param atMs now
 * @param seed fresh randomness
 */
export function completeDrain(fleet: Fleet, atMs: number, seed: number): FleetDecision {
  const { drain, availability, membership } = fleet;
  const isOver =
    drain?.running === 0 && atMs >= drain.addressesExpireAtMs && !availability.isAccepting;
  if (drain === undefined || drain.isDone || !isOver) return { state: fleet, effects: [] };
  const done = withMembership(
    { ...fleet, drain: { ...drain, isDone: true } },
    { version: membership.version + 1 },
  );
  return chain(
    done,
    (state) => sendUpdates(state, atMs, seed),
    (state) => ({ state, effects: [{ type: 'drained' }] }),
  );
}
