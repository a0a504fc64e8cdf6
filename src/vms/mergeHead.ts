/** Merges a head revision received from a peer, the table or this VM's own commit. */

import type { RevisionNumber } from '../configuration/configuration';
import type { Fleet } from './fleet';
import { withConfiguration } from './withConfiguration';

/** @returns the fleet with the head raised; a lower one changes nothing */
export function mergeHead(fleet: Fleet, head: RevisionNumber): Fleet {
  if (head <= fleet.configuration.head) return fleet;
  return withConfiguration(fleet, { head });
}
