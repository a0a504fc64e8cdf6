/** Claims, holds and releases the store row that names the executor, the VM that places layers. */

import type { StoreRow, WatchedStore } from '../../contracts/watchedStore';
import type { LogFields } from '../../gateway/job';
import { electExecutor } from '../../placing/electExecutor';
import type { ExecutorRow } from '../../placing/electExecutor';
import type { PeerRecord } from '../../peers/peer';

export interface ExecutorClaim {
  /** @returns whether this VM is the executor now */
  readonly tick: (live: readonly PeerRecord[]) => boolean;
  readonly applyRow: (row: StoreRow | undefined) => void;
  readonly release: () => Promise<void>;
}

export interface ExecutorClaimOptions {
  readonly store: WatchedStore;
  readonly table: string;
  readonly key: string;
  readonly self: PeerRecord;
  /** Monotonic clock, milliseconds. */
  readonly now: () => number;
  readonly log: (message: string, fields: LogFields) => void;
}

/** Time for which a holder must be missing before it is replaced; its heartbeats may be late. */
const MISSING_HOLDER_MS = 1_000;

/** Creates a claim that this VM does not hold yet. */
export function createExecutorClaim(options: ExecutorClaimOptions): ExecutorClaim {
  const { store, table, key, self, now, log } = options;
  let row: ExecutorRow | undefined;
  let isClaiming = false;
  let missingSinceMs: number | undefined;

  const claimRow = async (): Promise<void> => {
    isClaiming = true;
    const value = JSON.stringify({ vm: self.vm, incarnation: self.incarnation });
    const result = await store.write(table, [{ key, value, ifVersion: row?.version ?? 0 }]);
    isClaiming = false;
    log('executor asked for', { result: result.type, heldBy: row?.vm });
    if (result.type === 'committed') row = { ...self, version: result.version };
  };
  return {
    tick: (live) => {
      const verdict = electExecutor({ row, self, live });
      if (verdict !== 'take') missingSinceMs = undefined;
      else {
        missingSinceMs ??= now();
        const isDue = row === undefined || now() - missingSinceMs >= MISSING_HOLDER_MS;
        if (isDue && !isClaiming) void claimRow();
      }
      return verdict === 'hold';
    },
    applyRow: (stored) => {
      const next = parseRow(stored);
      if (next !== undefined && row !== undefined && next.version < row.version) return;
      if (next?.incarnation !== row?.incarnation) log('executor is', { holder: next?.vm });
      row = next;
    },
    release: async () => {
      if (row?.incarnation !== self.incarnation) return;
      await store.write(table, [{ key, value: undefined, ifVersion: row.version }]);
    },
  };
}

/** Treats an unreadable row as one without a holder. */
function parseRow(stored: StoreRow | undefined): ExecutorRow | undefined {
  if (stored?.value === undefined) return undefined;
  try {
    const { vm, incarnation } = JSON.parse(stored.value) as Readonly<Record<string, unknown>>;
    return { vm: String(vm), incarnation: String(incarnation), version: stored.version };
  } catch {
    return { vm: '', incarnation: '', version: stored.version };
  }
}
