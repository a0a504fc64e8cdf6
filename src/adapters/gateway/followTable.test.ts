import type { Position } from '../../contracts/position';
import type { StoreRow, TableRead } from '../../contracts/watchedStore';
import { createFencedStore } from './createFencedStore';
import { followTable } from './followTable';

const at = (version: number, era = 0): Position => ({ era, version });
const createRow = (key: string, position: Position): StoreRow => ({
  key,
  value: `${position.era}.${position.version}`,
  position,
});

const rowsAt = (position: Position, ...rows: readonly StoreRow[]): TableRead => ({
  type: 'rows',
  rows,
  position,
});

beforeEach(() => {
  jest.useFakeTimers();
});

afterEach(() => {
  jest.useRealTimers();
});

/** Follows a table through a fence; the test ends the waits. */
async function follow(first: TableRead) {
  let table = first;
  let reads = 0;
  const waits: { readonly since: Position; readonly end: (read: TableRead) => void }[] = [];
  const seen: (readonly (string | undefined)[])[] = [];
  const store = createFencedStore({
    store: {
      read: () => {
        reads += 1;
        return Promise.resolve(table);
      },
      watch: (_table, since) => new Promise((end) => waits.push({ since, end })),
      write: () => Promise.resolve({ type: 'unavailable', detail: 'status 503', era: 1 }),
    },
    log: () => undefined,
    count: () => undefined,
  });
  followTable({
    store,
    table: 't',
    waitMs: () => 2_500,
    batchDelayMs: () => 0,
    onRows: (rows) => seen.push([...rows.values()].map(({ value }) => value)),
    onAnswer: () => undefined,
    onFailure: () => undefined,
    clock: () => ({ monotonicMs: 0, wallMs: 0 }),
    random: () => 0.5,
    log: () => undefined,
  });
  await jest.advanceTimersByTimeAsync(1);
  return {
    store,
    waits,
    seen,
    reads: () => reads,
    setTable: (next: TableRead) => {
      table = next;
    },
  };
}

const first = rowsAt(at(9), createRow('a', at(8)), createRow('b', at(9)));
const second = rowsAt(at(7, 1), createRow('a', at(6, 1)));

describe('followTable', () => {
  it('reads the table whole after a short delay when a later era is seen without a 410', async () => {
    const { waits, seen, reads, setTable } = await follow(first);
    setTable(second);
    waits[0]?.end(rowsAt(at(12, 1)));
    await jest.advanceTimersByTimeAsync(140);
    expect(reads()).toBe(1);
    await jest.advanceTimersByTimeAsync(20);
    expect(reads()).toBe(2);
    expect(seen).toEqual([['0.8', '0.9'], ['1.6']]);
    expect(waits.at(-1)?.since).toEqual(at(7, 1));
  });

  it('reads the table whole after a 410 of a later era', async () => {
    const { waits, seen, setTable } = await follow(first);
    setTable(second);
    waits[0]?.end({ type: 'history-gone', era: 1 });
    await jest.advanceTimersByTimeAsync(160);
    expect(seen).toEqual([['0.8', '0.9'], ['1.6']]);
  });

  it('reads the table whole without delay after a 410 of the same era', async () => {
    const { waits, reads } = await follow(first);
    waits[0]?.end({ type: 'history-gone', era: 0 });
    await jest.advanceTimersByTimeAsync(1);
    expect(reads()).toBe(2);
  });

  it('reads the table whole when the answer to another call states a later era', async () => {
    const { store, waits, seen, setTable } = await follow(first);
    setTable(second);
    await store.write('other', []);
    await jest.advanceTimersByTimeAsync(160);
    expect(seen).toEqual([['0.8', '0.9'], ['1.6']]);
    waits[0]?.end(rowsAt(at(30), createRow('a', at(30))));
    await jest.advanceTimersByTimeAsync(160);
    expect(seen).toHaveLength(2);
  });

  it('reads again if the read itself was answered in an older era', async () => {
    const { waits, seen, setTable } = await follow(first);
    setTable(first);
    waits[0]?.end({ type: 'history-gone', era: 1 });
    await jest.advanceTimersByTimeAsync(160);
    expect(seen).toHaveLength(1);
    setTable(second);
    await jest.advanceTimersByTimeAsync(160);
    expect(seen).toEqual([['0.8', '0.9'], ['1.6']]);
  });

  it('follows two changes of era in a row', async () => {
    const { waits, seen, setTable } = await follow(first);
    for (const era of [1, 2]) {
      setTable(rowsAt(at(5, era), createRow('a', at(5, era))));
      waits.at(-1)?.end({ type: 'history-gone', era });
      await jest.advanceTimersByTimeAsync(160);
    }
    expect(seen).toEqual([['0.8', '0.9'], ['1.5'], ['2.5']]);
  });
});
