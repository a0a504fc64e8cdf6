/**
 * Tells whether running streams should move off a backend server. One that is stopped drains first. An
 * engine that is ordered to hold other layers gives up its own at once, and loads the new ones only when
 * nothing passes through it any more: until the last long stream has ended it serves nobody.
 */

import type { ListedServer } from '../chains/layerEngine';

/**
 * @param before the server as it was listed
 * @param after as it is listed now; undefined where it is not
 */
export function isLeaving(before: ListedServer, after: ListedServer | undefined): boolean {
  if (after === undefined || after.isDraining) return true;
  return (
    before.layers !== undefined && after.layers === undefined && after.bornMs === before.bornMs
  );
}
