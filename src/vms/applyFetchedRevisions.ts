/** Decodes and applies fetched revisions. */

import { applyRevisions } from '../configuration/applyRevisions';
import type { Revision } from '../configuration/configuration';
import { decodeRevision } from '../configuration/decodeRevision';
import { applySnapshot } from '../configuration/applySnapshot';
import { applyConfiguration } from './applyConfiguration';
import type { Fleet, FleetDecision } from './fleet';
import type { FleetEffect } from './fleetMessage';

/**
 * Applies revisions given as the text of their rows; malformed ones are counted.
 *
 * @param fleet the state
 * @param texts values of table rows, or their copies from a peer
 * @param atMs now
 * @param seed fresh randomness
 */
export function applyFetchedRevisions(
  fleet: Fleet,
  texts: readonly string[],
  atMs: number,
  seed: number,
): FleetDecision {
  const decoded = texts.map(decodeRevision);
  const revisions: Revision[] = [];
  for (const item of decoded) if (item.type === 'decoded') revisions.push(item.revision);
  const malformed = decoded.length - revisions.length;
  const counted: FleetEffect[] =
    malformed === 0 ? [] : [{ type: 'count', counter: 'revisions_malformed', by: malformed }];
  const finished = applySnapshot(fleet.configuration, revisions);
  const decision = applyConfiguration(fleet, applyRevisions(finished, revisions), atMs, seed);
  return { state: decision.state, effects: [...counted, ...decision.effects] };
}
