import type { Catalog } from '../../catalog/catalog';
import type { ClockReading } from '../../catalog/confirmation';
import type { TableRead, WatchedStore } from '../../contracts/watchedStore';
import { followCatalog } from './followCatalog';

/** Creates a store whose long polls the test ends. */
function createHeldStore() {
  const waits: { readonly waitMs: number; readonly end: (read: TableRead) => void }[] = [];
  const store: WatchedStore = {
    read: () => Promise.resolve({ type: 'rows', rows: [createRow(1)], version: 1 }),
    watch: (_table, _version, waitMs) =>
      new Promise((resolve) => {
        waits.push({ waitMs, end: resolve });
      }),
    write: () => Promise.resolve({ type: 'unavailable', detail: 'not used' }),
  };
  return { store, waits };
}

const createRow = (version: number) => ({ key: 'config', value: String(version), version });

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

async function follow() {
  const { store, waits } = createHeldStore();
  let reading: ClockReading = { monotonicMs: 0, wallMs: 1_000_000 };
  const catalog = followCatalog({
    store,
    table: 'op',
    decodeCatalog: (rows) => createCatalog(Number(rows.get('config')?.value)),
    onCatalog: () => undefined,
    health: {
      succeeded: () => undefined,
      failed: () => undefined,
      isReachable: () => true,
      wasUnreachableRecently: () => false,
    },
    waitMs: () => 2_500,
    limitMs: () => 4_250,
    clock: () => reading,
    random: () => 0,
    log: () => undefined,
  });
  await advanceTimers();
  return {
    catalog,
    waits,
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
    waits[0]?.end({ type: 'rows', rows: [createRow(2)], version: 2 });
    await advanceTimers();
    expect(waits[1]?.waitMs).toBe(1_350);
  });

  it('does not extend a confirmation from before a suspension across it', async () => {
    const { catalog, waits, advance } = await follow();
    advance(500, 7_500);
    waits[0]?.end({ type: 'rows', rows: [], version: 1 });
    await advanceTimers();
    expect(catalog.isConfirmed()).toBe(false);
  });
});
