/** Polls the head row and the platform's list. */

import { CONFIGURATION_TABLE, HEAD_KEY } from '../configuration/configurationConstants';
import { allocateNonce } from './allocateNonce';
import { chain } from './chain';
import type { Fleet, FleetDecision } from './fleet';
import { FETCH_RETRY_MS, MIN_POLL_MS, POLL_MS_PER_VM, UNAVAILABLE_POLL_MS } from './fleetConstants';
import { withConfiguration } from './withConfiguration';
import { withMembership } from './withMembership';

/**
 * Starts the reads that are due. The more VMs there are, the less often each one polls, which bounds the
 * fleet's reads per second; a VM that refuses new requests polls the head row more often.
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
  const allocated = allocateNonce(fleet);
  const state = withConfiguration(allocated.fleet, {
    isPolling: true,
    polledAtMs: atMs,
    nextPollAtMs: atMs + choosePeriod(fleet),
  });
  const call = `head-${allocated.nonce}`;
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
