import { Map } from 'immutable';
import { MAX_SUSPECTS, SUSPECT_EXPIRY_MS } from '../requests/constants';
import { pruneCrashTallies } from './pruneCrashTallies';

const bounds = { maxTallies: MAX_SUSPECTS, validMs: SUSPECT_EXPIRY_MS };

const records = Map(
  Array.from({ length: MAX_SUSPECTS }, (_, index) => {
    const record = { servers: ['a'], crashes: 1, lastCrashAtMs: index, isCleared: false };
    return [`content${index}`, record] as const;
  }),
);

describe('pruneCrashTallies', () => {
  it('removes the record with the oldest crash if none has expired', () => {
    const pruned = pruneCrashTallies(records, MAX_SUSPECTS, bounds);
    expect(pruned.size).toBe(MAX_SUSPECTS - 1);
    expect(pruned.has('content0')).toBe(false);
  });

  it('removes all expired records', () => {
    const pruned = pruneCrashTallies(records, SUSPECT_EXPIRY_MS + MAX_SUSPECTS - 3, bounds);
    expect([...pruned.keys()].sort()).toEqual([
      `content${MAX_SUSPECTS - 2}`,
      `content${MAX_SUSPECTS - 1}`,
    ]);
  });

  it('keeps all records below the limit', () => {
    const few = records.take(5);
    expect(pruneCrashTallies(few, 10 * SUSPECT_EXPIRY_MS, bounds)).toBe(few);
  });
});
