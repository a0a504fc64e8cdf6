import type { PeerGroup } from '../adapters/gateway/createPeerGroup';
import type { Position } from '../contracts/position';
import type { StoreRow, StoreWrite, TableRead } from '../contracts/watchedStore';
import { createPeerRecord } from '../peers/testPeer';
import { followMembership } from './followMembership';

const at = (version: number, era = 0): Position => ({ era, version });
const self = createPeerRecord('a', {
  callerAddress: '10.0.0.1:80',
  peerAddress: '10.0.0.1:70',
  tableAddress: '10.0.0.1:71',
});

beforeEach(() => {
  jest.useFakeTimers();
});

afterEach(() => {
  jest.useRealTimers();
});

/** Follows the records; the test ends the waits. */
async function follow() {
  const writes: StoreWrite[] = [];
  const waits: ((read: TableRead) => void)[] = [];
  const applied: Position[] = [];
  const contentRows: (string | undefined)[] = [];
  let table: TableRead = { type: 'rows', rows: [], position: at(3) };
  const peers: Pick<PeerGroup, 'setRecords'> = { setRecords: () => undefined };
  const membership = followMembership({
    store: {
      read: () => Promise.resolve(table),
      watch: () => new Promise((end) => waits.push(end)),
      write: (_table, made) => {
        writes.push(...made);
        return Promise.resolve({ type: 'committed', position: at(9) });
      },
    },
    table: 'own',
    waitMs: () => 2_500,
    batchDelayMs: () => 0,
    clock: () => ({ monotonicMs: 0, wallMs: 0 }),
    random: () => 0,
    self,
    peers: peers as PeerGroup,
    claim: {
      tick: () => false,
      applyRow: (_row, position) => applied.push(position),
      release: () => Promise.resolve(),
    },
    executorKey: 'executor',
    contentKeeper: { applyRow: (row) => contentRows.push(row?.value) },
    contentKey: 'contents',
    health: {
      succeeded: () => undefined,
      failed: () => undefined,
      setBack: () => undefined,
      isReachable: () => true,
      returnedMs: () => -Infinity,
    },
    log: () => undefined,
  });
  await jest.advanceTimersByTimeAsync(1);
  const setBack = async (era: number, rows: readonly StoreRow[]): Promise<void> => {
    table = { type: 'rows', rows, position: at(2, era) };
    waits.at(-1)?.({ type: 'history-gone', era });
    await jest.advanceTimersByTimeAsync(1);
  };
  return { membership, writes, applied, contentRows, setBack };
}

const createOwnRow = (incarnation: string, era: number): StoreRow => ({
  key: 'vm/a',
  value: JSON.stringify({ ...self, incarnation }),
  position: at(2, era),
});

describe('followMembership', () => {
  it('writes its record again at once when a later era lacks it, twice in a row', async () => {
    const { writes, applied, setBack } = await follow();
    expect(writes).toHaveLength(1);
    await setBack(1, []);
    expect(writes).toHaveLength(2);
    await setBack(2, [createOwnRow('earlier', 2)]);
    expect(writes).toHaveLength(3);
    expect(writes.at(-1)).toEqual({ key: 'vm/a', value: JSON.stringify(self) });
    expect(applied).toEqual([at(3), at(2, 1), at(2, 2)]);
  });

  it('writes nothing when the later era holds its record', async () => {
    const { membership, writes, setBack } = await follow();
    await setBack(1, [createOwnRow(self.incarnation, 1)]);
    expect(writes).toHaveLength(1);
    expect(membership.isRegistered()).toBe(true);
  });

  it('passes on the row of refused contents with each change, also where there is none', async () => {
    const { contentRows, setBack } = await follow();
    await setBack(1, [{ key: 'contents', value: 'kept', position: at(2, 1) }]);
    expect(contentRows).toEqual([undefined, 'kept']);
  });

  it('does not write its record again once it has left', async () => {
    const { membership, writes, setBack } = await follow();
    await membership.unregister();
    await setBack(1, []);
    expect(writes.at(-1)).toEqual({ key: 'vm/a', value: undefined });
    expect(writes).toHaveLength(2);
  });
});
