/**
 * Follows the list of backend servers. Entries that vanish shortly after the store was unreachable or came
 * back from an older copy are kept for a short time, within which running servers list themselves again.
 */

import type { ListedServer } from '../../chains/layerEngine';
import type { StoreRow } from '../../contracts/watchedStore';
import type { ServerRegistry } from '../../gateway/serverRegistry';
import { trackListing } from '../../gateway/trackListing';
import type { TrackedServer, TrackedServers } from '../../gateway/trackListing';
import type { StoreHealth } from '../../gateway/createStoreHealth';
import { createRowCache } from './createRowCache';
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

/** Time for which vanished entries are kept after the store was unreachable or set back. */
const RETAIN_VANISHED_MS = 1_700;

/** Follows the table and keeps the server registry up to date. */
export function followServers(options: FollowServersOptions): void {
  const { registry, health, log, now } = options;
  const decodeServer = createRowCache(options.decodeServer);
  let tracked: TrackedServers = new Map();

  const isUsed = ({ missing }: TrackedServer): boolean =>
    missing === undefined || missing.keptUntilMs > now();
  const updateServers = (): void => {
    registry.list([...tracked.values()].filter(isUsed).map(({ server }) => server));
  };
  followTable({
    ...options,
    onRows: (rows, { era }) => {
      const before = tracked;
      const keepMs = health.wasUnreachableRecently() ? RETAIN_VANISHED_MS : 0;
      const listed = [...rows.values()].flatMap((row) => decodeServer(row) ?? []);
      tracked = trackListing(before, { listed, era, nowMs: now(), keepMs });
      const vanished = [...tracked].filter(
        ([id, { missing }]) => missing !== undefined && before.get(id)?.missing === undefined,
      );
      for (const [server] of vanished) log('server unlisted', { server, isKept: keepMs > 0, era });
      if (vanished.length > 0 && keepMs > 0) setTimeout(updateServers, keepMs);
      updateServers();
    },
    onAnswer: health.succeeded,
    onFailure: health.failed,
  });
}
