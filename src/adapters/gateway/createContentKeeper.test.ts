import type { StoreRow, StoreWrite } from '../../contracts/watchedStore';
import type { ContentReport } from '../../crashes/contentTally';
import { createContentKeeper } from './createContentKeeper';

const createReport = (content: string, servers: readonly string[], ageMs = 5): ContentReport => ({
  content,
  servers,
  disproved: [],
  ageMs,
});

const createRow = (value: string): StoreRow => ({
  key: 'contents',
  value,
  position: { era: 0, version: 1 },
});

function setUp() {
  const writes: StoreWrite[] = [];
  const merged: ContentReport[] = [];
  const state = { refused: [] as readonly ContentReport[], nowMs: 0, isCommitted: true };
  const keeper = createContentKeeper({
    store: {
      write: (_table, made) => {
        writes.push(...made);
        return Promise.resolve(
          state.isCommitted
            ? { type: 'committed', position: { era: 0, version: 2 } }
            : { type: 'ambiguous', detail: 'silent' },
        );
      },
    },
    table: 'own',
    key: 'contents',
    suspicions: {
      listKept: () => state.refused,
      merge: (reports) => merged.push(...reports),
    },
    now: () => state.nowMs,
    log: () => undefined,
  });
  const tick = async (): Promise<void> => {
    state.nowMs += 1_000;
    keeper.tick();
    await Promise.resolve();
    await Promise.resolve();
  };
  return { keeper, writes, merged, state, tick };
}

describe('createContentKeeper', () => {
  it('writes what is refused once, and what changes of it', async () => {
    const { keeper, writes, state, tick } = setUp();
    keeper.applyRow(undefined);
    await tick();
    expect(writes).toEqual([]);
    state.refused = [createReport('part:a', ['x/1', 'y/1'])];
    await tick();
    state.refused = [createReport('part:a', ['y/1', 'x/1'], 900)];
    await tick();
    expect(writes.map(({ value }) => value)).toEqual([
      '{"format":1,"contents":[{"content":"part:a","servers":["x/1","y/1"],"ageMs":5}]}',
    ]);
    state.refused = [createReport('part:a', ['x/1', 'y/1', 'z/1'])];
    await tick();
    expect(writes).toHaveLength(2);
  });

  it('removes the row once nothing is refused', async () => {
    const { keeper, writes, state, tick } = setUp();
    keeper.applyRow(undefined);
    state.refused = [createReport('part:a', ['x/1'])];
    await tick();
    state.refused = [];
    await tick();
    await tick();
    expect(writes.slice(1)).toEqual([{ key: 'contents', value: undefined }]);
  });

  it('writes again after a write of which the outcome is unknown, a second later', async () => {
    const { keeper, writes, state, tick } = setUp();
    keeper.applyRow(undefined);
    state.refused = [createReport('part:a', ['x/1'])];
    state.isCommitted = false;
    await tick();
    keeper.tick();
    expect(writes).toHaveLength(1);
    await tick();
    expect(writes).toHaveLength(2);
  });

  it('joins what a row holds when it has changed', () => {
    const { keeper, merged } = setUp();
    const value = '{"format":1,"contents":[{"content":"part:a","servers":["x/1"],"ageMs":7}]}';
    keeper.applyRow(createRow(value));
    keeper.applyRow(createRow(value));
    expect(merged).toEqual([createReport('part:a', ['x/1'], 7)]);
  });

  it('writes nothing before it has read the row, and leaves a row of another version', async () => {
    const { keeper, writes, state, tick } = setUp();
    state.refused = [createReport('part:a', ['x/1'])];
    await tick();
    keeper.applyRow(createRow('{"format":2}'));
    await tick();
    expect(writes).toEqual([]);
  });

  it('writes again what a store that came back from an older copy lacks', async () => {
    const { keeper, writes, state, tick } = setUp();
    keeper.applyRow(undefined);
    state.refused = [createReport('part:a', ['x/1'])];
    await tick();
    keeper.applyRow(undefined);
    await tick();
    expect(writes).toHaveLength(2);
    expect(writes[1]).toEqual(writes[0]);
  });
});
