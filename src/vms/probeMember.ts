/** Starts a direct probe of one member. */

import { allocateNonce } from './allocateNonce';
import type { Fleet, FleetDecision } from './fleet';
import { MAX_PROBES } from './fleetConstants';
import type { Member } from './member';
import { sendGossip } from './sendGossip';
import { withMembership } from './withMembership';

/**
 * Sends a ping and records the probe as in flight, unless too many are.
 *
 * @param fleet the state
 * @param member the member to probe
 * @param atMs now
 */
export function probeMember(fleet: Fleet, member: Member, atMs: number): FleetDecision {
  const { probes } = fleet.membership;
  if (probes.size >= MAX_PROBES) return { state: fleet, effects: [] };
  const allocated = allocateNonce(fleet);
  const probe = { target: member.id, startedAtMs: atMs, stage: 'direct' } as const;
  const state = withMembership(allocated.fleet, { probes: probes.set(allocated.nonce, probe) });
  const to = member.vm.addresses.gossip;
  return sendGossip(state, { kind: 'ping', to, toId: member.id, nonce: allocated.nonce }, atMs);
}
