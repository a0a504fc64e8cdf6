/**
 * Says when a revision is in force everywhere: when every VM that may still serve has acknowledged it.
 */

import type { Fleet, FleetDecision } from './fleet';
import { MAX_WAITS_FOR, DEAD_VM_STOPPED_MS } from './fleetConstants';
import { isLive } from './isLive';
import type { Member } from './member';
import { withConfiguration } from './withConfiguration';

/**
 * Tells of a revision newly accepted, or of the VMs that it waits for.
 *
 * @param fleet the state
 * @param atMs now
 */
export function trackAcceptance(fleet: Fleet, atMs: number): FleetDecision {
  const { applied, accepted, told } = fleet.configuration;
  const wanted = applied.revision;
  if (accepted >= wanted) return { state: fleet, effects: [] };
  const serving = listServing(fleet, atMs);
  const everywhere = serving.reduce((least, { applied: held }) => Math.min(least, held), wanted);
  if (everywhere > accepted) {
    return {
      state: withConfiguration(fleet, { accepted: everywhere, told: '' }),
      effects: [{ type: 'configuration-accepted', revision: everywhere }],
    };
  }
  const lacking = serving.filter((member) => member.applied < wanted).map(({ id }) => id);
  const waitsFor = lacking.sort().slice(0, MAX_WAITS_FOR);
  const text = `${wanted} ${waitsFor.join(' ')}`;
  if (text === told) return { state: fleet, effects: [] };
  return {
    state: withConfiguration(fleet, { told: text }),
    effects: [{ type: 'configuration-pending', revision: wanted, waitsFor }],
  };
}

/**
 * VMs that may still serve. One that said it left, or that the platform removed from its list, has
 * stopped. One that is dead to all others, alone, hears nobody: it has refused new work since the
 * isolation bound, or hears the store and learns of the head there. Several dead ones may hear each
 * other, so they count until the platform says that they are gone.
 */
function listServing(fleet: Fleet, atMs: number): readonly Member[] {
  const members = [...fleet.membership.members.values()];
  const dead = members.filter(({ status, listing }) => status === 'dead' && listing !== 'gone');
  const isStopped = dead.every((member) => atMs - member.changedAtMs > DEAD_VM_STOPPED_MS);
  return dead.length === 1 && isStopped
    ? members.filter(isLive)
    : [...members.filter(isLive), ...dead];
}
