/**
 * Follows the list of backend servers. Entries that vanish while the store was away are kept for a
 * short time after its return, since servers that live are listed again within it.
 */

import type { ListedServer } from '../../chains/layerEngine';
import type { StoreRow } from '../../contracts/watchedStore';
import type { ServerRegistry } from '../../gateway/createServerRegistry';
import type { StoreHealth } from '../../gateway/createStoreHealth';
import type { LogFields } from '../../gateway/job';
import { followTable } from './followTable';
import type { FollowOptions } from './followTable';

export interface FollowServersOptions extends Pick<
  FollowOptions,
  'store' | 'table' | 'waitMs' | 'settleMs' | 'onCopy' | 'clock' | 'random'
> {
  /** Monotonic clock, milliseconds. */
  readonly now: () => number;
  /** Undefined where the row names no backend server. */
  readonly decodeServer: (row: StoreRow) => ListedServer | undefined;
  readonly board: ServerRegistry;
  readonly health: StoreHealth;
  readonly log: (message: string, fields: LogFields) => void;
}

/** Time for which vanished entries are kept after the store was away, milliseconds. */
const RELIST_MS = 1_700;

/** Starts to follow and keeps the board up to date. */
export function followServers(options: FollowServersOptions): void {
  const { decodeServer, board, health, log, now } = options;
  let rows: ReadonlyMap<string, StoreRow> = new Map();
  const vanished = new Map<string, { readonly server: ListedServer; readonly untilMs: number }>();

  const relist = (): void => {
    const listed = [...rows.values()].flatMap((row) => decodeServer(row) ?? []);
    const ids = new Set(listed.map(({ id }) => id));
    for (const [id, { untilMs }] of vanished) {
      if (ids.has(id) || now() >= untilMs) vanished.delete(id);
    }
    board.list([...listed, ...[...vanished.values()].map(({ server }) => server)]);
  };
  const noteVanished = (id: string, row: StoreRow): void => {
    log('server unlisted', { server: id, isKept: health.wasUnreachableRecently() });
    const server = health.wasUnreachableRecently() ? decodeServer(row) : undefined;
    if (server !== undefined) vanished.set(id, { server, untilMs: now() + RELIST_MS });
  };
  followTable({
    ...options,
    onRows: (next) => {
      for (const [id, row] of rows) if (!next.has(id)) noteVanished(id, row);
      if (vanished.size > 0) setTimeout(relist, RELIST_MS);
      rows = next;
      relist();
    },
    onContact: health.succeeded,
    onTrouble: health.failed,
  });
}
