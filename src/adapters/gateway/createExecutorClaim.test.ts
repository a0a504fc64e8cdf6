import type { StoreWrite, WatchedStore } from '../../contracts/watchedStore';
import type { PeerRecord } from '../../peers/peer';
import { createPeerRecord } from '../../peers/testPeer';
import { createExecutorClaim } from './createExecutorClaim';

const createRecord = (vm: string, incarnation: string): PeerRecord =>
  createPeerRecord(vm, { incarnation });

const self = createRecord('a', 'second');

function createClaim() {
  const writes: StoreWrite[] = [];
  const store: WatchedStore = {
    read: () => Promise.resolve({ type: 'unavailable', detail: 'not used' }),
    watch: () => Promise.resolve({ type: 'unavailable', detail: 'not used' }),
    write: (_table, made) => {
      writes.push(...made);
      return Promise.resolve({ type: 'committed', version: 20 });
    },
  };
  let nowMs = 0;
  const claim = createExecutorClaim({
    store,
    table: 't',
    key: 'executor',
    self,
    now: () => nowMs,
    log: () => undefined,
  });
  const tickAt = async (ms: number, live: readonly PeerRecord[]): Promise<boolean> => {
    nowMs = ms;
    const isHeld = claim.tick(live);
    await Promise.resolve();
    return isHeld;
  };
  return { claim, writes, tickAt };
}

const createHolderRow = (vm: string, incarnation: string) => ({
  key: 'executor',
  value: JSON.stringify({ vm, incarnation }),
  version: 7,
});

describe('createExecutorClaim', () => {
  it('claims the row with the version that it read, one second after all VMs have restarted', async () => {
    const { claim, writes, tickAt } = createClaim();
    claim.applyRow(createHolderRow('a', 'first'));
    expect(await tickAt(0, [self])).toBe(false);
    await tickAt(900, [self]);
    expect(writes).toEqual([]);
    await tickAt(1_000, [self]);
    expect(writes).toMatchObject([{ key: 'executor', ifVersion: 7 }]);
    expect(await tickAt(1_250, [self])).toBe(true);
  });

  it('does not replace a holder that is missing only briefly', async () => {
    const { claim, writes, tickAt } = createClaim();
    claim.applyRow(createHolderRow('b', 'first'));
    await tickAt(0, [self]);
    await tickAt(900, [self, createRecord('b', 'first')]);
    await tickAt(1_500, [self]);
    expect(writes).toEqual([]);
  });

  it('claims a row without a holder immediately', async () => {
    const { writes, tickAt } = createClaim();
    await tickAt(0, [self]);
    expect(writes).toMatchObject([{ ifVersion: 0 }]);
  });
});
