import { Map } from 'immutable';
import { MAX_SUSPECTS, SUSPECT_MS } from './constants';
import { pruneSuspects } from './pruneSuspects';

const records = Map(
  Array.from({ length: MAX_SUSPECTS }, (_, index) => {
    const record = { servers: ['a'], crashes: 1, lastCrashAtMs: index, isCleared: false };
    return [`content${index}`, record] as const;
  }),
);

describe('pruneSuspects', () => {
  it('drops the one whose crash is the longest ago where all are refused still', () => {
    const pruned = pruneSuspects(records, MAX_SUSPECTS);
    expect(pruned.size).toBe(MAX_SUSPECTS - 1);
    expect(pruned.has('content0')).toBe(false);
  });

  it('drops all that are no longer refused', () => {
    const pruned = pruneSuspects(records, SUSPECT_MS + MAX_SUSPECTS - 3);
    expect([...pruned.keys()].sort()).toEqual([
      `content${MAX_SUSPECTS - 2}`,
      `content${MAX_SUSPECTS - 1}`,
    ]);
  });

  it('leaves records below the limit alone', () => {
    const few = records.take(5);
    expect(pruneSuspects(few, 10 * SUSPECT_MS)).toBe(few);
  });
});
