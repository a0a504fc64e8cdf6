/** Requests the full records of all VMs that a peer knows. */

import type { Fleet, FleetDecision } from './fleet';
import { FETCH_RETRY_MS } from './fleetConstants';
import type { Member } from './member';
import { toPeer } from './toPeer';
import { withMembership } from './withMembership';

/** Requests a peer's records, at most once per `FETCH_RETRY_MS`. */
export function requestRecords(fleet: Fleet, peer: Member, atMs: number): FleetDecision {
  if (atMs - fleet.membership.recordsRequestedAtMs < FETCH_RETRY_MS) {
    return { state: fleet, effects: [] };
  }
  return {
    state: withMembership(fleet, { recordsRequestedAtMs: atMs }),
    effects: [{ type: 'send-message', to: toPeer(peer), body: { type: 'records-wanted' } }],
  };
}
