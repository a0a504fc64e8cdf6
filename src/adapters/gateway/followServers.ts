/**
 * Follows the list of backend servers. Entries that vanish shortly after the store was unreachable are kept
 * for a short time, within which running servers list themselves again.
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
  'store' | 'table' | 'waitMs' | 'batchDelayMs' | 'onCopy' | 'clock' | 'random'
> {
  /** Monotonic clock, milliseconds. */
  readonly now: () => number;
  /** Returns undefined if the row does not describe a backend server. */
  readonly decodeServer: (row: StoreRow) => ListedServer | undefined;
  readonly registry: ServerRegistry;
  readonly health: StoreHealth;
  readonly log: (message: string, fields: LogFields) => void;
}

/** Time for which vanished entries are kept after the store was unreachable. */
const RETAIN_VANISHED_MS = 1_700;

/** Follows the table and keeps the server registry up to date. */
export function followServers(options: FollowServersOptions): void {
  const { decodeServer, registry, health, log, now } = options;
  let rows: ReadonlyMap<string, StoreRow> = new Map();
  const vanished = new Map<string, { readonly server: ListedServer; readonly untilMs: number }>();

  const updateServers = (): void => {
    const listed = [...rows.values()].flatMap((row) => decodeServer(row) ?? []);
    const ids = new Set(listed.map(({ id }) => id));
    for (const [id, { untilMs }] of vanished) {
      if (ids.has(id) || now() >= untilMs) vanished.delete(id);
    }
    registry.list([...listed, ...[...vanished.values()].map(({ server }) => server)]);
  };
  const retainVanished = (id: string, row: StoreRow): void => {
    log('server unlisted', { server: id, isKept: health.wasUnreachableRecently() });
    const server = health.wasUnreachableRecently() ? decodeServer(row) : undefined;
    if (server !== undefined) vanished.set(id, { server, untilMs: now() + RETAIN_VANISHED_MS });
  };
  followTable({
    ...options,
    onRows: (next) => {
      for (const [id, row] of rows) if (!next.has(id)) retainVanished(id, row);
      if (vanished.size > 0) setTimeout(updateServers, RETAIN_VANISHED_MS);
      rows = next;
      updateServers();
    },
    onAnswer: health.succeeded,
    onFailure: health.failed,
  });
}
