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

/** Time after the store came back or was set back for which vanished entries are kept. */
const RETAIN_VANISHED_MS = 1_700;

/** Follows the table and keeps the server registry up to date. */
export function followServers(options: FollowServersOptions): void {
  const { registry, health, log, now } = options;
  const decodeServer = createRowCache(options.decodeServer);
  let tracked: TrackedServers = new Map();

  let timer: NodeJS.Timeout | undefined;

  const keptMs = ({ missing }: TrackedServer): number =>
    missing === undefined ? Infinity : missing.keptUntilMs - now();
  const updateServers = (): void => {
    const used = [...tracked.values()].filter((server) => keptMs(server) > 0);
    registry.list(used.map(({ server }) => server));
    const nextMs = Math.min(...used.map(keptMs));
    clearTimeout(timer);
    // A timer may fire shortly before its time, so each update sets the next one.
    if (nextMs < Infinity) timer = setTimeout(updateServers, Math.ceil(nextMs));
  };
  followTable({
    ...options,
    onRows: (rows, { era }) => {
      const before = tracked;
      const keepMs = Math.max(0, health.returnedMs() + RETAIN_VANISHED_MS - now());
      const listed = [...rows.values()].flatMap((row) => decodeServer(row) ?? []);
      tracked = trackListing(before, { listed, era, nowMs: now(), keepMs });
      const vanished = [...tracked].filter(
        ([id, { missing }]) => missing !== undefined && before.get(id)?.missing === undefined,
      );
      for (const [server] of vanished) log('server unlisted', { server, isKept: keepMs > 0, era });
      updateServers();
    },
    onAnswer: health.succeeded,
    onFailure: health.failed,
  });
}
