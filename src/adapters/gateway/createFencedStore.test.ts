import type { Position } from '../../contracts/position';
import type { StoreWrite, TableRead, WriteResult } from '../../contracts/watchedStore';
import { createFencedStore } from './createFencedStore';

const at = (version: number, era = 0): Position => ({ era, version });
const rowsAt = (position: Position): TableRead => ({ type: 'rows', rows: [], position });

/** Creates a fenced store whose answers the test gives. */
function createHeldStore() {
  const reads: ((read: TableRead) => void)[] = [];
  const watches: ((read: TableRead) => void)[] = [];
  const writes: ((result: WriteResult) => void)[] = [];
  const sent: StoreWrite[] = [];
  const events: string[] = [];
  const eras: number[] = [];
  const store = createFencedStore({
    store: {
      read: () => new Promise((resolve) => reads.push(resolve)),
      watch: () => new Promise((resolve) => watches.push(resolve)),
      write: (_table, made) => {
        sent.push(...made);
        return new Promise((resolve) => writes.push(resolve));
      },
    },
    log: (message) => events.push(message),
    count: (counter, label) => events.push(`${counter} ${label}`.trim()),
  });
  store.onEra((era) => eras.push(era));
  return { store, reads, watches, writes, sent, events, eras };
}

type Held = ReturnType<typeof createHeldStore>;

/** Lets the store state an era on the answer to a read. */
async function stateEra({ store, reads }: Held, era: number): Promise<void> {
  const read = store.read('other');
  reads.at(-1)?.(rowsAt(at(1, era)));
  await read;
}

describe('createFencedStore', () => {
  it('takes the first era as it is, and announces each later one', async () => {
    const held = createHeldStore();
    for (const era of [3, 3, 4, 5]) await stateEra(held, era);
    expect(held.eras).toEqual([4, 5]);
    expect(held.events).toEqual([
      'store era changed',
      'store_era_changes',
      'store era changed',
      'store_era_changes',
    ]);
  });

  it('ends the waits of all tables when any answer states a later era, also a refusal', async () => {
    const held = createHeldStore();
    await stateEra(held, 0);
    const waits = ['one', 'two'].map((table) => held.store.watch(table, at(9), 60_000));
    const write = held.store.write('own', [{ key: 'a', value: 'b' }]);
    held.writes[0]?.({ type: 'unavailable', detail: 'status 503', era: 1 });
    await write;
    expect(await Promise.all(waits)).toEqual([
      { type: 'history-gone', era: 1 },
      { type: 'history-gone', era: 1 },
    ]);
  });

  it('does not continue a copy with changes of a later era', async () => {
    const held = createHeldStore();
    await stateEra(held, 0);
    const wait = held.store.watch('one', at(9), 60_000);
    held.watches[0]?.(rowsAt(at(12, 1)));
    expect(await wait).toEqual({ type: 'history-gone', era: 1 });
    expect(await held.store.watch('one', at(9), 60_000)).toEqual({ type: 'history-gone', era: 1 });
    expect(held.watches).toHaveLength(1);
  });

  it('drops the late answers of an older era, relayed ones too', async () => {
    const held = createHeldStore();
    const read = held.store.read('one');
    const wait = held.store.watch('two', at(9), 60_000);
    await stateEra(held, 1);
    held.reads[0]?.(rowsAt(at(20)));
    expect(await read).toEqual({ type: 'history-gone', era: 1 });
    const relayed = held.store.watch('two', at(3, 1), 60_000);
    held.watches[1]?.({
      type: 'rows',
      rows: [],
      position: at(20),
      relayed: { heldMs: 0, agoMs: 0 },
    });
    expect(await relayed).toEqual({ type: 'history-gone', era: 1 });
    held.watches[0]?.(rowsAt(at(21)));
    await wait;
    await Promise.resolve();
    expect(held.events.filter((event) => event === 'late answer dropped')).toHaveLength(3);
    expect(held.events).toContain('late_store_answers read');
    expect(held.events).toContain('late_store_answers watch');
  });

  it('keeps to an answer that states no era', async () => {
    const held = createHeldStore();
    await stateEra(held, 1);
    const read = held.store.read('one');
    held.reads.at(-1)?.({ type: 'unavailable', detail: 'silent' });
    expect(await read).toEqual({ type: 'unavailable', detail: 'silent' });
    expect(held.events).not.toContain('late answer dropped');
  });

  it('treats a write that was acknowledged in an older era as unknown', async () => {
    const held = createHeldStore();
    await stateEra(held, 0);
    const write = held.store.write('own', [{ key: 'a', value: 'b' }]);
    await stateEra(held, 1);
    held.writes[0]?.({ type: 'committed', position: at(30) });
    expect(await write).toMatchObject({ type: 'ambiguous' });
  });

  it('never sends a condition on a position of an older era', async () => {
    const held = createHeldStore();
    await stateEra(held, 1);
    for (const ifPosition of [at(9), at(0)]) {
      const writes = [{ key: 'a', value: 'b', ifPosition }];
      expect(await held.store.write('own', writes)).toEqual({ type: 'conflict', era: 1 });
    }
    expect(held.sent).toEqual([]);
  });

  it('treats a conditional write as unknown if the store checked it in a later era', async () => {
    const held = createHeldStore();
    await stateEra(held, 0);
    const write = held.store.write('own', [{ key: 'a', value: 'b', ifPosition: at(9) }]);
    held.writes[0]?.({ type: 'committed', position: at(10, 1) });
    expect(await write).toMatchObject({ type: 'ambiguous' });
    expect(held.eras).toEqual([1]);
  });
});
