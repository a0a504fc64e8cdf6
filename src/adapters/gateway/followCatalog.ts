/** Follows the catalog that operators publish, and until when it is known to be the newest. */

import type { Catalog } from '../../catalog/catalog';
import type { ClockReading } from '../../catalog/confirmation';
import { elapsedMs } from '../../catalog/confirmation';
import { chooseConfirmationWait } from '../../catalog/chooseConfirmationWait';
import type { StoreRow } from '../../contracts/watchedStore';
import type { StoreHealth } from '../../gateway/createStoreHealth';
import type { LogFields } from '../../gateway/job';
import { followTable } from './followTable';
import type { FollowOptions } from './followTable';

export interface FollowedCatalog {
  /** Undefined before the first one is known. */
  readonly current: () => Catalog | undefined;
  /** It was known to be the newest a short time ago. */
  readonly isConfirmed: () => boolean;
}

export interface FollowCatalogOptions extends Pick<
  FollowOptions,
  'store' | 'table' | 'waitMs' | 'onCopy' | 'clock' | 'random'
> {
  /** Undefined where the rows hold no catalog; throws where they hold one that is not valid. */
  readonly decodeCatalog: (rows: ReadonlyMap<string, StoreRow>) => Catalog | undefined;
  readonly onCatalog: (catalog: Catalog) => void;
  readonly health: StoreHealth;
  /** Age of the last confirmation from which the catalog may be outdated, milliseconds. */
  readonly limitMs: () => number;
  readonly log: (message: string, fields: LogFields) => void;
}

/** Pause after a change, milliseconds: changes come in bursts. */
const SETTLE_MS = 60;

/** Starts to follow. */
export function followCatalog(options: FollowCatalogOptions): FollowedCatalog {
  const { decodeCatalog, onCatalog, health, limitMs, log, clock } = options;
  let catalog: Catalog | undefined;
  let confirmedAt: ClockReading | undefined;

  const decode = (rows: ReadonlyMap<string, StoreRow>): Catalog | undefined => {
    try {
      return decodeCatalog(rows);
    } catch (error) {
      // The catalog in force stays; one that cannot be read must not end the process.
      log('catalog not readable', { error: String(error) });
      return undefined;
    }
  };
  const ageMs = (): number =>
    confirmedAt === undefined ? Infinity : elapsedMs(confirmedAt, clock());
  followTable({
    ...options,
    waitMs: () =>
      chooseConfirmationWait(ageMs(), {
        limitMs: limitMs(),
        longestMs: options.waitMs(),
      }),
    settleMs: () => SETTLE_MS,
    onRows: (rows) => {
      const next = decode(rows);
      if (next === undefined || (catalog !== undefined && next.version < catalog.version)) return;
      catalog = next;
      onCatalog(next);
      log('catalog in force', { version: next.version, hosts: next.routes.size });
    },
    onContact: (known) => {
      confirmedAt = known;
      health.succeeded();
    },
    onTrouble: health.failed,
  });
  return {
    current: () => catalog,
    isConfirmed: () => ageMs() < limitMs(),
  };
}
