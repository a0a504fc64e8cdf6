/**
 * Keeps the contents that are refused, or nearly, in a row of the store, for VMs that start while no other VM lives. The
 * executor writes the row, only when it differs from what is refused; all VMs read it with the rows of the VMs.
 */

import { decodeContentRow, encodeContentRow } from '../../crashes/contentRowCodec';
import type { ContentReport } from '../../crashes/contentTally';
import type { StoreRow, WatchedStore } from '../../contracts/watchedStore';
import type { ContentSuspicions } from '../../gateway/contentSuspicions';
import type { LogFields } from '../../gateway/job';

export interface ContentKeeper {
  /** Writes the row if it is due; called often while this VM is the executor. */
  readonly tick: () => void;
  /** Joins what a row holds that has changed. */
  readonly applyRow: (row: StoreRow | undefined) => void;
}

export interface ContentKeeperOptions {
  readonly store: Pick<WatchedStore, 'write'>;
  readonly table: string;
  readonly key: string;
  readonly suspicions: Pick<ContentSuspicions, 'listKept' | 'merge'>;
  /** Monotonic clock, milliseconds. */
  readonly now: () => number;
  readonly log: (message: string, fields: LogFields) => void;
}

/** Least time between two writes: crashes of one content often come together. */
const WRITE_INTERVAL_MS = 1_000;

/** Creates a keeper that has not read the row yet. */
export function createContentKeeper(options: ContentKeeperOptions): ContentKeeper {
  const { store, table, key, suspicions, now, log } = options;
  /** What the store holds as far as it is known; undefined until it is read. */
  let stored: string | undefined;
  let isReadable = false;
  let writtenAtMs = -WRITE_INTERVAL_MS;

  const write = async (reports: readonly ContentReport[]): Promise<void> => {
    writtenAtMs = now();
    const value = reports.length === 0 ? undefined : encodeContentRow(reports);
    const result = await store.write(table, [{ key, value }]);
    log('refused contents kept', { contents: reports.length, result: result.type });
    if (result.type === 'committed') stored = value ?? '';
  };
  return {
    tick: () => {
      if (!isReadable || now() - writtenAtMs < WRITE_INTERVAL_MS) return;
      const reports = suspicions.listKept();
      const known = stored === '' ? [] : (decodeContentRow(stored ?? '') ?? []);
      if (describeReports(reports) !== describeReports(known)) void write(reports);
    },
    applyRow: (row) => {
      const value = row?.value ?? '';
      if (isReadable && value === stored) return;
      const reports = value === '' ? [] : decodeContentRow(value);
      // A row of a later version stays as it is.
      isReadable = reports !== undefined;
      stored = value;
      if (reports === undefined) log('kept contents not readable', { bytes: value.length });
      else if (reports.length > 0) {
        log('refused contents read', { contents: reports.length });
        suspicions.merge(reports);
      }
    },
  };
}

/** Two lists that are described alike refuse the same; ages differ at every look. */
function describeReports(reports: readonly ContentReport[]): string {
  const kept = decodeContentRow(encodeContentRow(reports)) ?? [];
  return kept
    .map(({ content, servers }) => `${content} ${servers.toSorted().join(' ')}`)
    .toSorted()
    .join('\n');
}
