/** Follows up probes that were not answered: others are asked first, then the VM is suspected. */

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
import { updateMember } from './updateMember';
import { sendGossip } from './sendGossip';
import { sendUpdates } from './sendUpdates';
import { withMembership } from './withMembership';

/**
 * Moves each overdue probe on by one stage.
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
          followUp(state, nonce, probe, atMs, seed + nonce),
    ),
  );
}

function isOverdue(fleet: Fleet, probe: Probe, atMs: number): boolean {
  const region = fleet.membership.members.get(probe.target)?.vm.region;
  const direct = region === fleet.vm.region ? DIRECT_TIMEOUT_MS : REMOTE_TIMEOUT_MS;
  const limit = probe.stage === 'direct' ? direct : direct + INDIRECT_TIMEOUT_MS + direct;
  return atMs - probe.startedAtMs >= limit;
}

function followUp(
  fleet: Fleet,
  nonce: number,
  probe: Probe,
  atMs: number,
  seed: number,
): FleetDecision {
  const { probes, members } = fleet.membership;
  const target = members.get(probe.target);
  const isOver = target === undefined || target.status === 'dead' || target.status === 'left';
  if (isOver || probe.stage === 'indirect') {
    const state = withMembership(fleet, { probes: probes.remove(nonce) });
    const hasFailed = !isOver && target.lastSeenAtMs < probe.startedAtMs;
    return hasFailed ? fail(state, target, atMs, seed) : { state, effects: [] };
  }
  const next = { ...probe, stage: 'indirect' } as const;
  const state = withMembership(fleet, { probes: probes.set(nonce, next) });
  return askOthers(state, nonce, target, atMs, seed);
}

function askOthers(
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
    // A second try of its own, in case only the first datagram was lost.
    (state) =>
      sendGossip(
        state,
        { kind: 'ping', to: target.vm.addresses.gossip, toId: target.id, nonce },
        atMs,
      ),
  );
}

function fail(fleet: Fleet, target: Member, atMs: number, seed: number): FleetDecision {
  const failed = { ...target, probeFailedAtMs: atMs };
  const { members } = fleet.membership;
  const state = withMembership(fleet, { members: members.set(target.id, failed) });
  return target.status === 'alive' ? suspect(state, failed, atMs, seed) : { state, effects: [] };
}

/** The suspect itself is told too, so that it can refute at once. */
function suspect(fleet: Fleet, target: Member, atMs: number, seed: number): FleetDecision {
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
