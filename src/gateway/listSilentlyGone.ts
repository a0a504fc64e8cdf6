/** Lists the servers that have ended without notice: they did not answer, and have left the list or started again. */

import type { ListedServer } from '../chains/layerEngine';
import type { ServerSuspicion } from './createSuspicions';
import { TIMEOUT_REASONS } from './createSuspicions';

type Servers = ReadonlyMap<string, ListedServer>;

/**
 * @param before the servers so far, by id
 * @param next the servers from now on, by id
 */
export function listSilentlyGone(
  suspicions: readonly ServerSuspicion[],
  before: Servers,
  next: Servers,
): readonly ListedServer[] {
  return suspicions.flatMap(({ id, bornMs, reason }) => {
    const known = before.get(id);
    if (known?.bornMs !== bornMs || next.get(id)?.bornMs === bornMs) return [];
    return !known.isDraining && TIMEOUT_REASONS.has(reason) ? known : [];
  });
}
