import { createListedServer } from '../../chains/testEngine';
import type { Position } from '../../contracts/position';
import type { StoreRow, TableRead } from '../../contracts/watchedStore';
import { createFirstEventDelays } from '../../gateway/createFirstEventDelays';
import { createServerRegistry } from '../../gateway/createServerRegistry';
import { createStoreHealth } from '../../gateway/createStoreHealth';
import { createFencedStore } from './createFencedStore';
import { followServers } from './followServers';

const at = (version: number, era = 0): Position => ({ era, version });
const createRow = (key: string, state: string, position: Position): StoreRow => ({
  key,
  value: state,
  position,
});

beforeEach(() => {
  jest.useFakeTimers();
});

afterEach(() => {
  jest.useRealTimers();
});

/** Follows the servers through a fence; the test ends the waits. */
async function follow(rows: readonly StoreRow[]) {
  let table: TableRead = { type: 'rows', rows, position: at(9) };
  const waits: ((read: TableRead) => void)[] = [];
  const left: string[] = [];
  const now = (): number => Date.now();
  const log = (): void => undefined;
  const registry = createServerRegistry({
    now,
    log,
    firstEventDelays: createFirstEventDelays(now),
  });
  registry.onLeaving((id) => left.push(id));
  const health = createStoreHealth(now, log);
  const store = createFencedStore({
    store: {
      read: () => Promise.resolve(table),
      watch: () => new Promise((end) => waits.push(end)),
      write: () => Promise.resolve({ type: 'unavailable', detail: 'not used' }),
    },
    log,
    count: log,
  });
  store.onEra(health.setBack);
  followServers({
    store,
    table: 'servers',
    waitMs: () => 2_500,
    batchDelayMs: () => 0,
    clock: () => ({ monotonicMs: 0, wallMs: 0 }),
    random: () => 0,
    now,
    decodeServer: ({ key, value }) => createListedServer(key, { isDraining: value === 'draining' }),
    registry,
    health,
    log,
  });
  await jest.advanceTimersByTimeAsync(1);
  return {
    left,
    usable: () => registry.usableServers('drafts').map(({ id }) => id),
    change: async (position: Position, ...changed: readonly StoreRow[]): Promise<void> => {
      waits.at(-1)?.({ type: 'rows', rows: changed, position });
      await jest.advanceTimersByTimeAsync(1);
    },
    setBack: async (era: number, copied: readonly StoreRow[]): Promise<void> => {
      table = { type: 'rows', rows: copied, position: at(7, era) };
      waits.at(-1)?.({ type: 'history-gone', era });
      await jest.advanceTimersByTimeAsync(1);
    },
  };
}

describe('followServers', () => {
  it('keeps a server that a later era lacks until it had time to list itself again', async () => {
    const { usable, left, setBack, change } = await follow([
      createRow('x', 'ready', at(8)),
      createRow('y', 'ready', at(9)),
    ]);
    await setBack(1, []);
    expect(usable()).toEqual(['x', 'y']);
    await change(at(8, 1), createRow('x', 'ready', at(8, 1)));
    expect(left).toEqual([]);
    await jest.advanceTimersByTimeAsync(1_700);
    expect(usable()).toEqual(['x']);
    expect(left).toEqual(['y']);
  });

  it('leaves a server draining that a later era lists as ready', async () => {
    const { usable, left, setBack } = await follow([createRow('x', 'ready', at(8))]);
    expect(usable()).toEqual(['x']);
    await setBack(1, [createRow('x', 'draining', at(6, 1))]);
    expect(usable()).toEqual([]);
    await setBack(2, [createRow('x', 'ready', at(5, 2))]);
    expect(usable()).toEqual([]);
    expect(left).toEqual(['x']);
  });

  it('leaves out a server that had left before the later era lists it again', async () => {
    const { usable, change, setBack } = await follow([createRow('x', 'ready', at(8))]);
    await change(at(10), { key: 'x', value: undefined, position: at(10) });
    expect(usable()).toEqual([]);
    await setBack(1, [createRow('x', 'ready', at(6, 1))]);
    expect(usable()).toEqual([]);
  });
});
