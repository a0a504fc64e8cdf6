import type { Position } from '../../contracts/position';
import type { StoreWrite } from '../../contracts/watchedStore';
import type { PeerRecord } from '../../peers/peer';
import { createPeerRecord } from '../../peers/testPeer';
import { createExecutorClaim } from './createExecutorClaim';
import type { ExecutorClaimOptions } from './createExecutorClaim';

const at = (version: number, era = 0): Position => ({ era, version });

const createRecord = (vm: string, incarnation: string): PeerRecord =>
  createPeerRecord(vm, { incarnation });

const self = createRecord('a', 'second');

function createClaim() {
  const writes: StoreWrite[] = [];
  const eraListeners: ((era: number) => void)[] = [];
  const events: string[] = [];
  let era = 0;
  const store: ExecutorClaimOptions['store'] = {
    write: (_table, made) => {
      writes.push(...made);
      return Promise.resolve({ type: 'committed', position: at(20, era) });
    },
    onEra: (listener) => {
      eraListeners.push(listener);
    },
  };
  const setEra = (next: number): void => {
    era = next;
    for (const listener of eraListeners) listener(next);
  };
  let nowMs = 0;
  const claim = createExecutorClaim({
    store,
    table: 't',
    key: 'executor',
    self,
    now: () => nowMs,
    log: (message) => events.push(message),
    count: (counter) => events.push(counter),
  });
  const tickAt = async (ms: number, live: readonly PeerRecord[]): Promise<boolean> => {
    nowMs = ms;
    const isHeld = claim.tick(live);
    await Promise.resolve();
    return isHeld;
  };
  return { claim, writes, tickAt, setEra, events };
}

const createHolderRow = (vm: string, incarnation: string, position = at(7)) => ({
  key: 'executor',
  value: JSON.stringify({ vm, incarnation }),
  position,
});

describe('createExecutorClaim', () => {
  it('claims the row with the version that it read, one second after all VMs have restarted', async () => {
    const { claim, writes, tickAt } = createClaim();
    claim.applyRow(createHolderRow('a', 'first'), at(7));
    expect(await tickAt(0, [self])).toBe(false);
    await tickAt(900, [self]);
    expect(writes).toEqual([]);
    await tickAt(1_000, [self]);
    expect(writes).toMatchObject([{ key: 'executor', ifPosition: at(7) }]);
    expect(await tickAt(1_250, [self])).toBe(true);
  });

  it('does not replace a holder that is missing only briefly', async () => {
    const { claim, writes, tickAt } = createClaim();
    claim.applyRow(createHolderRow('b', 'first'), at(7));
    await tickAt(0, [self]);
    await tickAt(900, [self, createRecord('b', 'first')]);
    await tickAt(1_500, [self]);
    expect(writes).toEqual([]);
  });

  it('claims a row without a holder immediately', async () => {
    const { claim, writes, tickAt } = createClaim();
    claim.applyRow(undefined, at(7));
    await tickAt(0, [self]);
    expect(writes).toMatchObject([{ ifPosition: at(0) }]);
  });

  it('claims nothing before it has read the table', async () => {
    const { writes, tickAt } = createClaim();
    await tickAt(0, [self]);
    expect(writes).toEqual([]);
  });

  it('ignores a copy of the table from before its claim', async () => {
    const { claim, writes, tickAt } = createClaim();
    claim.applyRow(undefined, at(7));
    await tickAt(0, [self]);
    claim.applyRow(undefined, at(8));
    expect(await tickAt(250, [self])).toBe(true);
    expect(writes).toHaveLength(1);
  });
});

describe('createExecutorClaim after a change of era', () => {
  it('gives its claim up at once and claims anew once the table is read, twice in a row', async () => {
    const { claim, writes, tickAt, setEra, events } = createClaim();
    claim.applyRow(undefined, at(7));
    await tickAt(0, [self]);
    expect(await tickAt(250, [self])).toBe(true);
    for (const era of [1, 2]) {
      setEra(era);
      expect(await tickAt(500, [self])).toBe(false);
      expect(writes).toHaveLength(era);
      claim.applyRow(undefined, at(3, era));
      await tickAt(500, [self]);
      expect(writes.at(-1)).toMatchObject({ ifPosition: at(0, era) });
      expect(await tickAt(750, [self])).toBe(true);
    }
    expect(events.filter((event) => event === 'executor claim given up')).toHaveLength(2);
    expect(events.filter((event) => event === 'executor_claims_given_up')).toHaveLength(2);
  });

  it('follows the holder that a lower version of the later era names', async () => {
    const { claim, writes, tickAt, setEra } = createClaim();
    claim.applyRow(createHolderRow('a', 'second'), at(9));
    expect(await tickAt(0, [self])).toBe(true);
    setEra(1);
    const other = createRecord('b', 'first');
    claim.applyRow(createHolderRow('b', 'first', at(4, 1)), at(5, 1));
    expect(await tickAt(250, [self, other])).toBe(false);
    await tickAt(1_000, [self]);
    await tickAt(2_000, [self]);
    expect(writes).toMatchObject([{ ifPosition: at(4, 1) }]);
  });

  it('does not release a row of an earlier era', async () => {
    const { claim, writes, setEra } = createClaim();
    claim.applyRow(createHolderRow('a', 'second'), at(9));
    setEra(1);
    await claim.release();
    expect(writes).toEqual([]);
  });
});
