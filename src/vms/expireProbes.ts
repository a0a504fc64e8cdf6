/** Escalates unanswered probes: first to indirect probes through other VMs, then to a suspicion. */

import { chain } from './chain';
import type { Fleet, FleetDecision } from './fleet';
import {
  DIRECT_TIMEOUT_MS,
  INDIRECT_PROBES,
  INDIRECT_TIMEOUT_MS,
  REMOTE_TIMEOUT_MS,
} from './fleetConstants';
import type { Member } from './member';
import type { Probe } from './membership';
import { pickMembers } from './pickMembers';
import { sendGossip } from './sendGossip';
import { sendUpdates } from './sendUpdates';
import { updateMember } from './updateMember';
import { withMembership } from './withMembership';

/**
 * Moves each overdue probe to its next stage.
 *
 * @param fleet the state
 * @param atMs now
 * @param seed fresh randomness
 */
export function expireProbes(fleet: Fleet, atMs: number, seed: number): FleetDecision {
  const { probes, relays } = fleet.membership;
  if (probes.isEmpty() && relays.isEmpty()) return { state: fleet, effects: [] };
  const overdue = [...probes].filter(([, probe]) => isOverdue(fleet, probe, atMs));
  const kept = relays.filter((relay) => atMs - relay.startedAtMs < 2 * REMOTE_TIMEOUT_MS);
  return chain(
    kept.size === relays.size ? fleet : withMembership(fleet, { relays: kept }),
    ...overdue.map(
      ([nonce, probe]) =>
        (state: Fleet) =>
          escalateProbe(state, nonce, probe, atMs, seed + nonce),
    ),
  );
}

function isOverdue(fleet: Fleet, probe: Probe, atMs: number): boolean {
  const region = fleet.membership.members.get(probe.target)?.vm.region;
  const direct = region === fleet.vm.region ? DIRECT_TIMEOUT_MS : REMOTE_TIMEOUT_MS;
  const limit = probe.stage === 'direct' ? direct : direct + INDIRECT_TIMEOUT_MS + direct;
  return atMs - probe.startedAtMs >= limit;
}

function escalateProbe(
  fleet: Fleet,
  nonce: number,
  probe: Probe,
  atMs: number,
  seed: number,
): FleetDecision {
  const { probes, members } = fleet.membership;
  const target = members.get(probe.target);
  const isObsolete = target === undefined || target.status === 'dead' || target.status === 'left';
  if (isObsolete || probe.stage === 'indirect') {
    const state = withMembership(fleet, { probes: probes.remove(nonce) });
    const hasFailed = !isObsolete && target.lastSeenAtMs < probe.startedAtMs;
    return hasFailed ? recordProbeFailure(state, target, atMs, seed) : { state, effects: [] };
  }
  const next = { ...probe, stage: 'indirect' } as const;
  const state = withMembership(fleet, { probes: probes.set(nonce, next) });
  return sendIndirectProbes(state, nonce, target, atMs, seed);
}

function sendIndirectProbes(
  fleet: Fleet,
  nonce: number,
  target: Member,
  atMs: number,
  seed: number,
): FleetDecision {
  const isHelper = (member: Member): boolean =>
    member.status === 'alive' && member.id !== target.id && member.vm.region === fleet.vm.region;
  const helpers = [...fleet.membership.members.values()].filter(isHelper);
  return chain(
    fleet,
    ...pickMembers(helpers, INDIRECT_PROBES, seed).map(
      ({ id, vm }) =>
        (state: Fleet) =>
          sendGossip(
            state,
            { kind: 'ask', to: vm.addresses.gossip, toId: id, nonce, target: target.id },
            atMs,
          ),
    ),
    // Repeats the direct probe, in case only its first datagram was lost.
    (state) =>
      sendGossip(
        state,
        { kind: 'ping', to: target.vm.addresses.gossip, toId: target.id, nonce },
        atMs,
      ),
  );
}

function recordProbeFailure(
  fleet: Fleet,
  target: Member,
  atMs: number,
  seed: number,
): FleetDecision {
  const failed = { ...target, probeFailedAtMs: atMs };
  const { members } = fleet.membership;
  const state = withMembership(fleet, { members: members.set(target.id, failed) });
  return target.status === 'alive'
    ? markSuspect(state, failed, atMs, seed)
    : { state, effects: [] };
}

/** Also notifies the suspect itself, which can then refute immediately. */
function markSuspect(fleet: Fleet, target: Member, atMs: number, seed: number): FleetDecision {
  return chain(
    fleet,
    (state) => updateMember(state, target, { ...target, status: 'suspect' }, atMs),
    (state) =>
      sendGossip(
        state,
        { kind: 'news', to: target.vm.addresses.gossip, toId: target.id, nonce: 0 },
        atMs,
      ),
    (state) => sendUpdates(state, atMs, seed),
  );
}
