/** Recomputes the views that depend on the members or on the configuration. */

import type { BackendServer } from '../backendServers/backendServer';
import { hash32 } from '../hashing/hash32';
import { chain } from './chain';
import type { Fleet, FleetDecision } from './fleet';
import { isLive } from './isLive';
import { isWatcher } from './isWatcher';
import type { Member } from './member';
import { toPeer } from './toPeer';
import { withMembership } from './withMembership';

/**
 * Recomputes the ring of the region, the servers in scope and the watched ones, and notifies the other
 * sides of the live VMs.
 */
export function refreshViews(fleet: Fleet): FleetDecision {
  return chain(fleet, refreshVms, refreshServers);
}

function refreshVms(fleet: Fleet): FleetDecision {
  if (!fleet.membership.isChanged) return { state: fleet, effects: [] };
  const live = [...fleet.membership.members.values()].filter(isLive);
  const local = live.filter((member) => member.vm.region === fleet.vm.region);
  const ring = [fleet.vm.id, ...local.map((member) => member.id)].sort();
  const acceptingVms = countAccepting(fleet, live);
  const state = withMembership(fleet, {
    isChanged: false,
    ring,
    roster: [...fleet.membership.members.keys()].sort(),
    liveVms: live.length + 1,
    acceptingVms,
    hashes: [fleet.vm.id, ...live.map(({ id }) => id)].map((id) => ({ id, hash: hash32(id) })),
  });
  return {
    state: { ...state, servers: { ...state.servers, isStale: true } },
    effects: [{ type: 'vms-changed', vms: live.map(toPeer), acceptingVms }],
  };
}

function countAccepting(fleet: Fleet, live: readonly Member[]): number {
  const others = live.filter((member) => member.isAccepting && !member.isDraining).length;
  return others + (fleet.availability.isAccepting ? 1 : 0);
}

function refreshServers(fleet: Fleet): FleetDecision {
  if (!fleet.servers.isStale) return { state: fleet, effects: [] };
  const { backendServer } = fleet.configuration.applied;
  const regions = listRegions(fleet);
  const scope = [...backendServer.values()].filter((server) => isInScope(fleet, server, regions));
  const own = hash32(fleet.vm.id);
  const vms = fleet.membership.ring.map((id) => hash32(id));
  const watched = scope.map(({ id }) => id).filter((id) => isWatcher(hash32(id), own, vms));
  const records = fleet.servers.records.filter((_, server) => backendServer.has(server));
  const servers = { ...fleet.servers, scope, watched, records, isStale: false };
  return { state: { ...fleet, servers }, effects: [] };
}

/** Lists the other regions that have live VMs. */
function listRegions(fleet: Fleet): ReadonlySet<string> {
  const regions = new Set<string>();
  for (const member of fleet.membership.members.values()) {
    if (isLive(member) && member.vm.region !== fleet.vm.region) regions.add(member.vm.region);
  }
  return regions;
}

/** A server is in scope of the VMs of its region; if it has no region or no VMs there, of all VMs. */
function isInScope(
  fleet: Fleet,
  server: BackendServer,
  otherRegions: ReadonlySet<string>,
): boolean {
  const domain = fleet.configuration.applied.failureDomain.get(server.failureDomain);
  return domain === undefined || !otherRegions.has(domain.region);
}
