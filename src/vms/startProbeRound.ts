/**
 * Runs one round of probes: a fixed number of VMs of the own region, in a random order that visits each
 * one once per cycle; in some rounds a VM of another region or a dead one; and, while a VM is suspected,
 * others of its failure domain.
 */

import { createRandom } from '../random/createRandom';
import { allocateNonce } from './allocateNonce';
import { chain } from './chain';
import type { Fleet, FleetDecision } from './fleet';
import {
  LONG_PROBE_PERIOD_MS,
  PROBED_NEIGHBOURS,
  PROBES_PER_ROUND,
  ROUNDS_PER_DEAD_PROBE,
  ROUNDS_PER_REMOTE_PROBE,
  SHORT_PROBE_PERIOD_MS,
  SMALL_FLEET_VMS,
} from './fleetConstants';
import { isLive } from './isLive';
import type { Member } from './member';
import { pickMembers } from './pickMembers';
import { probeMember } from './probeMember';
import { sendGossip } from './sendGossip';
import type { Address, VmId } from './vm';
import { withMembership } from './withMembership';

/**
 * Starts a round if one is due.
 *
 * @param fleet the state
 * @param atMs now
 * @param seed fresh randomness
 */
export function startProbeRound(fleet: Fleet, atMs: number, seed: number): FleetDecision {
  const { membership } = fleet;
  if (atMs < membership.nextRoundAtMs) return { state: fleet, effects: [] };
  const period =
    membership.liveVms <= SMALL_FLEET_VMS ? SHORT_PROBE_PERIOD_MS : LONG_PROBE_PERIOD_MS;
  const due = Math.max(membership.nextRoundAtMs, atMs - period) + period;
  const started = withMembership(fleet, { nextRoundAtMs: due, round: membership.round + 1 });
  const selection = nextLocalTargets(started, seed);
  const others = [
    ...pickRemoteOrDead(selection.fleet, seed),
    ...pickNeighbours(selection.fleet, seed),
  ];
  const targets = new Set([...selection.targets, ...others]);
  return chain(
    selection.fleet,
    ...[...targets].map((member) => (state: Fleet) => probeMember(state, member, atMs)),
    (state) => pingSeeds(state, atMs),
  );
}

interface LocalTargets {
  readonly fleet: Fleet;
  readonly targets: readonly Member[];
}

function nextLocalTargets(fleet: Fleet, seed: number): LocalTargets {
  const { members } = fleet.membership;
  let queue = fleet.membership.probeQueue;
  if (queue.length < PROBES_PER_ROUND) queue = [...queue, ...shuffle(listLocal(fleet), seed)];
  const targets: Member[] = [];
  let index = 0;
  for (; index < queue.length && targets.length < PROBES_PER_ROUND; index += 1) {
    const member = members.get(queue[index] ?? '');
    if (member !== undefined && isLive(member) && !targets.includes(member)) targets.push(member);
  }
  return { fleet: withMembership(fleet, { probeQueue: queue.slice(index) }), targets };
}

function listLocal(fleet: Fleet): readonly VmId[] {
  return fleet.membership.ring.filter((id) => id !== fleet.vm.id);
}

function shuffle(ids: readonly VmId[], seed: number): readonly VmId[] {
  const random = createRandom(seed);
  const shuffled = [...ids];
  for (let last = shuffled.length - 1; last > 0; last -= 1) {
    const other = random.integer(last + 1);
    const swapped = shuffled[last] ?? '';
    shuffled[last] = shuffled[other] ?? '';
    shuffled[other] = swapped;
  }
  return shuffled;
}

function pickRemoteOrDead(fleet: Fleet, seed: number): readonly Member[] {
  const { membership, vm } = fleet;
  const isRemoteRound = membership.round % ROUNDS_PER_REMOTE_PROBE === 0;
  const isDeadRound = membership.round % ROUNDS_PER_DEAD_PROBE === 1;
  if (!isRemoteRound && !isDeadRound) return [];
  const members = [...membership.members.values()];
  const isRemote = (member: Member): boolean => isLive(member) && member.vm.region !== vm.region;
  const isDead = (member: Member): boolean => member.status === 'dead';
  return pickMembers(members.filter(isRemoteRound ? isRemote : isDead), 1, seed);
}

/** VMs of one failure domain may fail together: a suspicion of one is a reason to probe the others. */
function pickNeighbours(fleet: Fleet, seed: number): readonly Member[] {
  const { members, suspected } = fleet.membership;
  if (suspected.length === 0) return [];
  const chosen = members.get(createRandom(seed).pick(suspected));
  if (chosen === undefined) return [];
  const isNeighbour = (member: Member): boolean =>
    member.status === 'alive' && member.vm.failureDomain === chosen.vm.failureDomain;
  return pickMembers([...members.values()].filter(isNeighbour), PROBED_NEIGHBOURS, seed);
}

/** Pings the seeds in each round while there is no live peer. */
function pingSeeds(fleet: Fleet, atMs: number): FleetDecision {
  if (fleet.membership.liveVms > 1) return { state: fleet, effects: [] };
  return chain(fleet, ...fleet.seeds.map((seed) => (state: Fleet) => pingSeed(state, seed, atMs)));
}

function pingSeed(fleet: Fleet, to: Address, atMs: number): FleetDecision {
  const own = fleet.vm.addresses.gossip;
  if (to.host === own.host && to.port === own.port) return { state: fleet, effects: [] };
  const allocated = allocateNonce(fleet);
  return sendGossip(allocated.fleet, { kind: 'ping', to, nonce: allocated.nonce }, atMs);
}
