/** Applies a later revision of the configuration on this VM. */

import type { ConfigurationState } from '../configuration/configurationState';
import { chain } from './chain';
import type { Fleet, FleetDecision } from './fleet';
import { sendUpdates } from './sendUpdates';

/**
 * Replaces the configuration's state. If it contains a later revision, notifies the other sides of this
 * node and some VMs immediately.
 *
 * @throws RangeError if the applied revision would decrease
 */
export function applyConfiguration(
  fleet: Fleet,
  next: ConfigurationState,
  atMs: number,
  seed: number,
): FleetDecision {
  const before = fleet.configuration.applied.revision;
  const configuration = next.applied;
  if (configuration.revision < before) {
    throw new RangeError(`applied revision ${before} would revert to ${configuration.revision}`);
  }
  if (configuration.revision === before) {
    return { state: { ...fleet, configuration: next }, effects: [] };
  }
  const state = {
    ...fleet,
    configuration: { ...next, fetch: { type: 'none' } as const },
    servers: { ...fleet.servers, isStale: true },
  };
  return chain(
    state,
    (applied) => ({
      state: applied,
      effects: [{ type: 'configuration-applied', configuration }],
    }),
    (applied) => sendUpdates(applied, atMs, seed),
  );
}
