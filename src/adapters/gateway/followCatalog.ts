/** Follows the catalog that operators publish, and tracks when it was last known to be current. */

import type { Catalog } from '../../catalog/catalog';
import type { ClockReading } from '../../catalog/confirmation';
import { elapsedMs } from '../../catalog/confirmation';
import { chooseConfirmationWait } from '../../catalog/chooseConfirmationWait';
import type { StoreRow } from '../../contracts/watchedStore';
import type { StartCheck } from '../../gateway/createStartCheck';
import type { StoreHealth } from '../../gateway/createStoreHealth';
import type { LogFields } from '../../gateway/job';
import { followTable } from './followTable';
import type { FollowOptions } from './followTable';

export interface FollowedCatalog {
  /** Undefined before the first catalog is known. */
  readonly current: () => Catalog | undefined;
  /** Whether the catalog was confirmed as current within the limit. */
  readonly isConfirmed: () => boolean;
  /** Era of the store in which its table was read last; 0 before. */
  readonly era: () => number;
}

export interface FollowCatalogOptions extends Pick<
  FollowOptions,
  'store' | 'table' | 'waitMs' | 'onCopy' | 'clock' | 'random'
> {
  /** Returns undefined if the rows hold no catalog; throws if they hold an invalid one. */
  readonly decodeCatalog: (rows: ReadonlyMap<string, StoreRow>) => Catalog | undefined;
  readonly onCatalog: (catalog: Catalog) => void;
  readonly health: StoreHealth;
  /** Age of the last confirmation beyond which the catalog may be outdated, milliseconds. */
  readonly limitMs: () => number;
  readonly startCheck: Pick<StartCheck, 'recordRead' | 'isPassed'>;
  readonly log: (message: string, fields: LogFields) => void;
}

/** Delay after a change before the next poll; changes come in bursts. */
const BATCH_DELAY_MS = 60;

export function followCatalog(options: FollowCatalogOptions): FollowedCatalog {
  const { decodeCatalog, onCatalog, health, limitMs, log, clock } = options;
  let catalog: Catalog | undefined;
  let confirmedAt: ClockReading | undefined;
  let outdatedEra: number | undefined;
  let lastEra = 0;

  const decode = (rows: ReadonlyMap<string, StoreRow>): Catalog | undefined => {
    try {
      return decodeCatalog(rows);
    } catch (error) {
      // Keeps the applied catalog; an unreadable one must not end the process.
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
    batchDelayMs: () => BATCH_DELAY_MS,
    onRows: (rows, { era }) => {
      lastEra = era;
      const next = decode(rows);
      if (next === undefined) return;
      if (catalog !== undefined && next.version < catalog.version) {
        // Credentials that were revoked must not come back with an older copy of the store.
        if (outdatedEra !== era) {
          const versions = { read: next.version, inForce: catalog.version };
          log('catalog older than the one in force', { ...versions, era });
        }
        outdatedEra = era;
        return;
      }
      catalog = next;
      options.startCheck.recordRead({ version: next.version, era });
      onCatalog(next);
      log('catalog in force', { version: next.version, hosts: next.routes.size });
    },
    onAnswer: (known) => {
      confirmedAt = known;
      health.succeeded();
    },
    onFailure: health.failed,
  });
  return {
    current: () => catalog,
    isConfirmed: () => ageMs() < limitMs() && options.startCheck.isPassed(),
    era: () => lastEra,
  };
}
