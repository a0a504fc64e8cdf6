/** Reads the head row and the platform's list from time to time. */

import { CONFIGURATION_TABLE, HEAD_KEY } from '../configuration/configurationConstants';
import { chain } from './chain';
import type { Fleet, FleetDecision } from './fleet';
import { UNAVAILABLE_POLL_MS, FETCH_RETRY_MS, MIN_POLL_MS, POLL_MS_PER_VM } from './fleetConstants';
import { allocateNonce } from './allocateNonce';
import { withConfiguration } from './withConfiguration';
import { withMembership } from './withMembership';

/**
 * Starts what is due. The more VMs there are, the less often each asks, so that the fleet's reads a
 * second are bounded; a VM in doubt about itself asks more often.
 *
 * @param fleet the state
 * @param atMs now
 */
export function pollStore(fleet: Fleet, atMs: number): FleetDecision {
  return chain(
    fleet,
    (state) => pollHead(state, atMs),
    (state) => pollList(state, atMs),
  );
}

function choosePeriod(fleet: Fleet): number {
  if (!fleet.availability.isAccepting && fleet.drain === undefined) return UNAVAILABLE_POLL_MS;
  return Math.max(MIN_POLL_MS, fleet.membership.liveVms * POLL_MS_PER_VM);
}

function pollHead(fleet: Fleet, atMs: number): FleetDecision {
  const { nextPollAtMs, isPolling, polledAtMs } = fleet.configuration;
  const isWaiting = isPolling && atMs - polledAtMs < FETCH_RETRY_MS;
  const isDue = atMs >= Math.min(nextPollAtMs, polledAtMs + choosePeriod(fleet));
  if (isWaiting || !isDue) return { state: fleet, effects: [] };
  const taken = allocateNonce(fleet);
  const state = withConfiguration(taken.fleet, {
    isPolling: true,
    polledAtMs: atMs,
    nextPollAtMs: atMs + choosePeriod(fleet),
  });
  const call = `head-${taken.nonce}`;
  return {
    state,
    effects: [{ type: 'read-rows', call, table: CONFIGURATION_TABLE, keys: [HEAD_KEY] }],
  };
}

function pollList(fleet: Fleet, atMs: number): FleetDecision {
  if (atMs < fleet.membership.nextListAtMs) return { state: fleet, effects: [] };
  const nextListAtMs = atMs + Math.max(MIN_POLL_MS, choosePeriod(fleet));
  return {
    state: withMembership(fleet, { nextListAtMs }),
    effects: [{ type: 'list-vms' }],
  };
}
