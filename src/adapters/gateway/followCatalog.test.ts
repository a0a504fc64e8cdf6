import type { Catalog } from '../../catalog/catalog';
import type { ClockReading } from '../../catalog/confirmation';
import type { Position } from '../../contracts/position';
import type { TableRead, WatchedStore } from '../../contracts/watchedStore';
import { createStartCheck } from '../../gateway/createStartCheck';
import { followCatalog } from './followCatalog';

/** Creates a store whose long polls the test ends. */
function createHeldStore() {
  const waits: { readonly waitMs: number; readonly end: (read: TableRead) => void }[] = [];
  let table: TableRead = { type: 'rows', rows: [createRow(1)], position: at(1) };
  const setTable = (next: TableRead): void => {
    table = next;
  };
  const store: WatchedStore = {
    read: () => Promise.resolve(table),
    watch: (_table, _version, waitMs) =>
      new Promise((resolve) => {
        waits.push({ waitMs, end: resolve });
      }),
    write: () => Promise.resolve({ type: 'unavailable', detail: 'not used' }),
  };
  return { store, waits, setTable };
}

const at = (version: number, era = 0): Position => ({ era, version });

const createRow = (version: number, position = at(version)) => ({
  key: 'config',
  value: String(version),
  position,
});

const createCatalog = (version: number): Catalog => ({
  version,
  routes: new Map(),
  services: new Map(),
  hasWorkspaces: false,
  credentials: new Map(),
  limits: { maxBodyBytes: 0, headerTimeoutMs: 0, idleTimeoutMs: 0 },
});

/** Runs resolved promises and the delay after a change. */
const advanceTimers = (): Promise<void> => jest.advanceTimersByTimeAsync(90);

beforeEach(() => {
  jest.useFakeTimers();
});

afterEach(() => {
  jest.useRealTimers();
});

async function follow(first?: TableRead) {
  const { store, waits, setTable } = createHeldStore();
  if (first !== undefined) setTable(first);
  const events: string[] = [];
  let reading: ClockReading = { monotonicMs: 0, wallMs: 1_000_000 };
  const startCheck = createStartCheck(() => reading.monotonicMs);
  const catalog = followCatalog({
    startCheck,
    store,
    table: 'op',
    decodeCatalog: (rows) => createCatalog(Number(rows.get('config')?.value)),
    onCatalog: () => undefined,
    health: {
      succeeded: () => undefined,
      failed: () => undefined,
      setBack: () => undefined,
      isReachable: () => true,
      returnedMs: () => -Infinity,
    },
    waitMs: () => 2_500,
    limitMs: () => 4_250,
    clock: () => reading,
    random: () => 0,
    log: (message, fields) => events.push(`${message} ${JSON.stringify(fields)}`),
  });
  await advanceTimers();
  return {
    catalog,
    startCheck,
    waits,
    setTable,
    events,
    advance: (monotonicMs: number, wallMs = monotonicMs) => {
      reading = {
        monotonicMs: reading.monotonicMs + monotonicMs,
        wallMs: reading.wallMs + wallMs,
      };
    },
  };
}

describe('followCatalog', () => {
  it('polls again in time after a change ended a long wait', async () => {
    const { waits, advance } = await follow();
    expect(waits[0]?.waitMs).toBe(2_500);
    advance(2_400);
    waits[0]?.end({ type: 'rows', rows: [createRow(2)], position: at(2) });
    await advanceTimers();
    expect(waits[1]?.waitMs).toBe(1_350);
  });

  it('keeps the newest catalog, and logs once that a later era has an older one', async () => {
    const { catalog, waits, setTable, events } = await follow();
    waits[0]?.end({ type: 'rows', rows: [createRow(4)], position: at(4) });
    await advanceTimers();
    setTable({ type: 'rows', rows: [createRow(2, at(2, 1))], position: at(2, 1) });
    waits[1]?.end({ type: 'history-gone', era: 1 });
    await advanceTimers();
    waits[2]?.end({ type: 'rows', rows: [createRow(3, at(3, 1))], position: at(3, 1) });
    await advanceTimers();
    expect(catalog.current()?.version).toBe(4);
    expect(events.filter((event) => event.startsWith('catalog older'))).toEqual([
      'catalog older than the one in force {"read":2,"inForce":4,"era":1}',
    ]);
    waits[3]?.end({ type: 'rows', rows: [createRow(4, at(4, 1))], position: at(4, 1) });
    await advanceTimers();
    waits[4]?.end({ type: 'rows', rows: [createRow(5, at(5, 1))], position: at(5, 1) });
    await advanceTimers();
    expect(catalog.current()?.version).toBe(5);
  });

  it('does not extend a confirmation from before a suspension across it', async () => {
    const { catalog, waits, advance } = await follow();
    advance(500, 7_500);
    waits[0]?.end({ type: 'rows', rows: [], position: at(1) });
    await advanceTimers();
    expect(catalog.isConfirmed()).toBe(false);
  });

  it('does not confirm an older catalog to a VM that starts after the store came back', async () => {
    const { catalog, startCheck, waits, advance } = await follow({
      type: 'rows',
      rows: [createRow(2, at(2, 1))],
      position: at(2, 1),
    });
    startCheck.recordReported(4);
    advance(2_500);
    expect([catalog.era(), catalog.isConfirmed()]).toEqual([1, false]);
    waits[0]?.end({ type: 'rows', rows: [createRow(4, at(4, 1))], position: at(4, 1) });
    await advanceTimers();
    expect(catalog.isConfirmed()).toBe(true);
  });
});
