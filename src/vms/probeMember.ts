/** Starts the probe of one member. */

import type { Fleet, FleetDecision } from './fleet';
import { MAX_PROBES } from './fleetConstants';
import type { Member } from './member';
import { sendGossip } from './sendGossip';
import { allocateNonce } from './allocateNonce';
import { withMembership } from './withMembership';

/**
 * Sends a ping and remembers that its answer is due.
 *
 * @param fleet the state
 * @param member whom to probe
 * @param atMs now
 */
export function probeMember(fleet: Fleet, member: Member, atMs: number): FleetDecision {
  const { probes } = fleet.membership;
  if (probes.size >= MAX_PROBES) return { state: fleet, effects: [] };
  const taken = allocateNonce(fleet);
  const probe = { target: member.id, startedAtMs: atMs, stage: 'direct' } as const;
  const state = withMembership(taken.fleet, { probes: probes.set(taken.nonce, probe) });
  const to = member.vm.addresses.gossip;
  return sendGossip(state, { kind: 'ping', to, toId: member.id, nonce: taken.nonce }, atMs);
}
