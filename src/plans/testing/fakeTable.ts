/**
 * Simulates the platform's table service in memory, for tests and measurements. It follows the same rules
 * as the HTTP stand-in and adds seeded outages, lost requests and lost replies.
 */

import type {
  RangeRead,
  ReadResult,
  Row,
  Transaction,
  TransactionResult,
} from '../../contracts/table';
import type { Random } from '../../random/createRandom';
import { formatRowKey, transactRows, type Rows } from '../../../standins/table/transactRows';

/** Shares of calls that fail, 0 to 1. */
export interface TableFaults {
  /** The request is never received; the caller gets an ambiguous result. */
  readonly lostRequests: number;
  /** The request is committed; the caller gets an ambiguous result. */
  readonly lostReplies: number;
  /** The request is committed only after the caller got an ambiguous result. */
  readonly lateWrites: number;
}

export interface FakeTable {
  readonly rows: () => Rows;
  readonly setDown: (isDown: boolean) => void;
  readonly setFaults: (faults: TableFaults) => void;
  /** Runs a transaction; `later` receives a function that commits a late write after the answer. */
  readonly transact: (
    transaction: Transaction,
    later: (apply: () => void) => void,
  ) => TransactionResult;
  readonly read: (table: string, keys: readonly string[]) => ReadResult;
  readonly range: (range: RangeRead) => ReadResult;
}

export const NO_FAULTS: TableFaults = { lostRequests: 0, lostReplies: 0, lateWrites: 0 };

const DOWN = { type: 'unavailable', detail: 'The table is down' } as const;
const LOST = { type: 'ambiguous', detail: 'The reply was lost' } as const;

/** Creates an empty table that draws its faults from `random`. */
export function createFakeTable(random: Random): FakeTable {
  let rows: Rows = new Map();
  let isDown = false;
  let faults = NO_FAULTS;
  const apply = (transaction: Transaction): TransactionResult => {
    const result = transactRows(rows, transaction);
    if (result.type === 'conflict') return { type: 'conflict', rows: result.failed };
    rows = result.rows;
    return { type: 'committed', versions: result.versions };
  };
  return {
    rows: () => rows,
    setDown: (value) => {
      isDown = value;
    },
    setFaults: (value) => {
      faults = value;
    },
    transact: (transaction, later) => {
      if (isDown) return DOWN;
      if (random.next() < faults.lostRequests) return LOST;
      if (random.next() < faults.lateWrites) {
        later(() => {
          apply(transaction);
        });
        return LOST;
      }
      const result = apply(transaction);
      return random.next() < faults.lostReplies ? LOST : result;
    },
    read: (table, keys) => {
      if (isDown) return DOWN;
      const found = keys.flatMap((key) => rows.get(formatRowKey(table, key)) ?? []);
      return { type: 'rows', rows: found };
    },
    range: ({ table, from, to, limit }) => {
      if (isDown) return DOWN;
      const isInside = (row: Row): boolean =>
        row.table === table && row.key >= from && (to === undefined || row.key < to);
      const found = [...rows.values()].filter(isInside).sort(byKey).slice(0, limit);
      return { type: 'rows', rows: found };
    },
  };
}

function byKey(left: Row, right: Row): number {
  if (left.key === right.key) return 0;
  return left.key < right.key ? -1 : 1;
}
