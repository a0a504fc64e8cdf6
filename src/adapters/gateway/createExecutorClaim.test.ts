import type { StoreWrite, WatchedStore } from '../../contracts/watchedStore';
import type { PeerRecord } from '../../peers/peer';
import { createPeerRecord } from '../../peers/testPeer';
import { createExecutorClaim } from './createExecutorClaim';

const record = (vm: string, incarnation: string): PeerRecord =>
  createPeerRecord(vm, { incarnation });

const self = record('a', 'second');

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

const holder = (vm: string, incarnation: string) => ({
  key: 'executor',
  value: JSON.stringify({ vm, incarnation }),
  version: 7,
});

describe('createExecutorClaim', () => {
  it('takes over a second after all VMs have started anew, under the version that it read', async () => {
    const { claim, writes, tickAt } = createClaim();
    claim.learnRow(holder('a', 'first'));
    expect(await tickAt(0, [self])).toBe(false);
    await tickAt(900, [self]);
    expect(writes).toEqual([]);
    await tickAt(1_000, [self]);
    expect(writes).toMatchObject([{ key: 'executor', ifVersion: 7 }]);
    expect(await tickAt(1_250, [self])).toBe(true);
  });

  it('leaves a holder alone that is missing only for a moment', async () => {
    const { claim, writes, tickAt } = createClaim();
    claim.learnRow(holder('b', 'first'));
    await tickAt(0, [self]);
    await tickAt(900, [self, record('b', 'first')]);
    await tickAt(1_500, [self]);
    expect(writes).toEqual([]);
  });

  it('takes a row that nobody holds at once', async () => {
    const { writes, tickAt } = createClaim();
    await tickAt(0, [self]);
    expect(writes).toMatchObject([{ ifVersion: 0 }]);
  });
});
