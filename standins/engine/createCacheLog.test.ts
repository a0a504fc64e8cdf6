import { createCacheLog } from './createCacheLog';

const prompt = (start: number): readonly number[] =>
  Array.from({ length: 32 }, (_, index) => start + index);

describe('createCacheLog', () => {
  it('reports each prefix once and leaves gaps in the sequence for lost events', () => {
    const log = createCacheLog({ engine: 'e1', lagMs: 0, loseEvery: 2 });
    log.store(prompt(0));
    log.store(prompt(0));
    log.store(prompt(100));
    expect(log.after(0).map(({ sequence, tokens }) => [sequence, tokens])).toEqual([
      [1, 16],
      [3, 16],
    ]);
    expect(log.after(1).map(({ sequence }) => sequence)).toEqual([3]);
  });

  it('delays events by the lag', () => {
    const log = createCacheLog({ engine: 'e1', lagMs: 60_000, loseEvery: 0 });
    log.store(prompt(0));
    expect(log.after(0)).toEqual([]);
  });

  it('reports evictions when the cache is full', () => {
    const log = createCacheLog({ engine: 'e1', lagMs: 0, loseEvery: 0 });
    for (let index = 0; index < 300; index += 1) log.store(prompt(index * 100));
    const evicted = log.after(0).filter(({ type }) => type === 'evicted');
    expect(evicted.length).toBe(88);
  });
});
