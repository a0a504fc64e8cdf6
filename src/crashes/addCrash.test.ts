import { addCrash } from './addCrash';

const limit = { validMs: 1_000 };
const tally = { servers: ['a'], crashes: 1, lastCrashAtMs: 0 };

describe('addCrash', () => {
  it('counts the crash of each server', () => {
    expect(addCrash(tally, 'b', 500, limit)).toEqual({
      servers: ['a', 'b'],
      crashes: 2,
      lastCrashAtMs: 500,
    });
  });

  it('counts the crash of a server once', () => {
    expect(addCrash(tally, 'a', 500, limit)).toBe(tally);
  });

  it('starts anew if the crashes so far no longer count', () => {
    expect(addCrash(tally, 'b', 1_000, limit)).toEqual({
      servers: ['b'],
      crashes: 1,
      lastCrashAtMs: 1_000,
    });
  });
});
