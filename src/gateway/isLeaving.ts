/**
 * Decides whether running streams should move off a backend server. A server that stops drains first. An
 * engine that is ordered to hold other layers releases its own at once but loads the new ones only after
 * its last stream has ended; until then it serves no new request.
 */

import type { ListedServer } from '../chains/layerEngine';

/**
 * @param before the server in the previous list
 * @param after the server in the current list; undefined if it is not listed any more
 */
export function isLeaving(before: ListedServer, after: ListedServer | undefined): boolean {
  if (after === undefined || after.isDraining) return true;
  return (
    before.layers !== undefined && after.layers === undefined && after.bornMs === before.bornMs
  );
}
