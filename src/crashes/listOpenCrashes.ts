/** Lists the crashes of a content that nothing has disproved. */

import type { ContentTally } from './contentTally';

/** @returns the incarnations of the servers */
export function listOpenCrashes({ servers, disproved }: ContentTally): readonly string[] {
  return servers.filter((server) => !disproved.includes(server));
}
