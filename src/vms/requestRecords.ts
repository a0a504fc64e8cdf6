/** Asks a peer for the full records of the VMs that it knows. */

import type { Fleet, FleetDecision } from './fleet';
import { FETCH_RETRY_MS } from './fleetConstants';
import type { Member } from './member';
import { toPeer } from './toPeer';
import { withMembership } from './withMembership';

/** Asks a peer for its records, at most once in a while. */
export function requestRecords(fleet: Fleet, peer: Member, atMs: number): FleetDecision {
  if (atMs - fleet.membership.recordsRequestedAtMs < FETCH_RETRY_MS) {
    return { state: fleet, effects: [] };
  }
  return {
    state: withMembership(fleet, { recordsRequestedAtMs: atMs }),
    effects: [{ type: 'send-message', to: toPeer(peer), body: { type: 'records-wanted' } }],
  };
}
