/** Reports a revision as accepted once every VM that may still serve has applied it. */

import type { Fleet, FleetDecision } from './fleet';
import { DEAD_VM_STOPPED_MS, MAX_WAITS_FOR } from './fleetConstants';
import { isLive } from './isLive';
import type { Member } from './member';
import { withConfiguration } from './withConfiguration';

/**
 * Reports a newly accepted revision, or the VMs that have yet to apply the current one.
 *
 * @param fleet the state
 * @param atMs now
 */
export function trackAcceptance(fleet: Fleet, atMs: number): FleetDecision {
  const { applied, accepted, told } = fleet.configuration;
  const target = applied.revision;
  if (accepted >= target) return { state: fleet, effects: [] };
  const serving = listPossiblyServing(fleet, atMs);
  const lowest = serving.reduce(
    (least, { applied: revision }) => Math.min(least, revision),
    target,
  );
  if (lowest > accepted) {
    return {
      state: withConfiguration(fleet, { accepted: lowest, told: '' }),
      effects: [{ type: 'configuration-accepted', revision: lowest }],
    };
  }
  const pending = serving.filter((member) => member.applied < target).map(({ id }) => id);
  const waitsFor = pending.sort().slice(0, MAX_WAITS_FOR);
  const pendingText = `${target} ${waitsFor.join(' ')}`;
  if (pendingText === told) return { state: fleet, effects: [] };
  return {
    state: withConfiguration(fleet, { told: pendingText }),
    effects: [{ type: 'configuration-pending', revision: target, waitsFor }],
  };
}

/**
 * Lists the VMs that may still serve. A VM that announced its departure, or that the platform removed
 * from its list, has stopped. A single dead VM receives nothing from its peers: it has refused new work
 * since the isolation timeout, or it reads the head revision from the store. Several dead VMs may still
 * reach each other, so they count until the platform removes them from its list.
 */
function listPossiblyServing(fleet: Fleet, atMs: number): readonly Member[] {
  const members = [...fleet.membership.members.values()];
  const dead = members.filter(({ status, listing }) => status === 'dead' && listing !== 'gone');
  const isStopped = dead.every((member) => atMs - member.changedAtMs > DEAD_VM_STOPPED_MS);
  return dead.length === 1 && isStopped
    ? members.filter(isLive)
    : [...members.filter(isLive), ...dead];
}
