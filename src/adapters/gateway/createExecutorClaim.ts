/** Claims, holds and releases the store row that names the executor, the VM that places layers. */

import { comparePositions } from '../../contracts/comparePositions';
import type { Position } from '../../contracts/position';
import type { StoreRow } from '../../contracts/watchedStore';
import type { LogFields } from '../../gateway/job';
import { electExecutor } from '../../placing/electExecutor';
import type { ExecutorRow } from '../../placing/electExecutor';
import type { PeerRecord } from '../../peers/peer';
import type { FencedStore } from './createFencedStore';

export interface ExecutorClaim {
  /** @returns whether this VM is the executor now */
  readonly tick: (live: readonly PeerRecord[]) => boolean;
  /** @param at position of the copy of the table that holds the row, or lacks it */
  readonly applyRow: (row: StoreRow | undefined, at: Position) => void;
  readonly release: () => Promise<void>;
}

export interface ExecutorClaimOptions {
  readonly store: Pick<FencedStore, 'write' | 'onEra'>;
  readonly table: string;
  readonly key: string;
  readonly self: PeerRecord;
  /** Monotonic clock, milliseconds. */
  readonly now: () => number;
  readonly log: (message: string, fields: LogFields) => void;
  readonly count: (counter: string, label: string) => void;
}

/** Time for which a holder must be missing before it is replaced; its heartbeats may be late. */
const MISSING_HOLDER_MS = 1_000;

/** Creates a claim that this VM does not hold yet. */
export function createExecutorClaim(options: ExecutorClaimOptions): ExecutorClaim {
  const { store, table, key, self, now, log, count } = options;
  let row: ExecutorRow | undefined;
  /** Position at which the row is known; undefined until the table is read in the store's era. */
  let known: Position | undefined;
  let newestEra = 0;
  let isClaiming = false;
  let missingSinceMs: number | undefined;

  const isOwn = (): boolean => row?.incarnation === self.incarnation;
  const claimRow = async (era: number): Promise<void> => {
    isClaiming = true;
    const value = JSON.stringify({ vm: self.vm, incarnation: self.incarnation });
    const ifPosition = row?.position ?? { era, version: 0 };
    const result = await store.write(table, [{ key, value, ifPosition }]);
    isClaiming = false;
    log('executor asked for', { result: result.type, heldBy: row?.vm });
    if (result.type !== 'committed') return;
    row = { ...self, position: result.position };
    known = result.position;
  };
  // What this VM knows of the row is from before the store came back, even its own claim.
  store.onEra((era) => {
    if (isOwn()) {
      log('executor claim given up', { era });
      count('executor_claims_given_up', '');
    }
    newestEra = era;
    row = undefined;
    known = undefined;
    missingSinceMs = undefined;
  });
  return {
    tick: (live) => {
      if (known === undefined) return false;
      const verdict = electExecutor({ row, self, live });
      if (verdict !== 'take') missingSinceMs = undefined;
      else {
        missingSinceMs ??= now();
        const isDue = row === undefined || now() - missingSinceMs >= MISSING_HOLDER_MS;
        if (isDue && !isClaiming) void claimRow(known.era);
      }
      return verdict === 'hold';
    },
    applyRow: (stored, at) => {
      if (at.era < newestEra) return;
      if (known !== undefined && comparePositions(at, known) < 0) return;
      const next = parseRow(stored);
      if (next?.incarnation !== row?.incarnation) log('executor is', { holder: next?.vm });
      row = next;
      known = at;
    },
    release: async () => {
      if (row === undefined || !isOwn()) return;
      await store.write(table, [{ key, value: undefined, ifPosition: row.position }]);
    },
  };
}

/** Treats an unreadable row as one without a holder. */
function parseRow(stored: StoreRow | undefined): ExecutorRow | undefined {
  if (stored?.value === undefined) return undefined;
  try {
    const { vm, incarnation } = JSON.parse(stored.value) as Readonly<Record<string, unknown>>;
    return { vm: String(vm), incarnation: String(incarnation), position: stored.position };
  } catch {
    return { vm: '', incarnation: '', position: stored.position };
  }
}
