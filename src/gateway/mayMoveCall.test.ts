import type { CallTry } from './mayMoveCall';
import { mayMoveCall } from './mayMoveCall';

const current: CallTry = {
  isIdempotent: true,
  maxAttempts: 2,
  servers: new Set(['s0']),
  remainingTries: 3,
  isSuspected: false,
};

describe('mayMoveCall', () => {
  it.each<[string, Partial<CallTry>, boolean]>([
    ['a first server of two', {}, true],
    ['a second server of two', { servers: new Set(['s0', 's1']) }, false],
    ['a second server of three', { servers: new Set(['s0', 's1']), maxAttempts: 3 }, true],
    ['the only server of the route', { maxAttempts: 1 }, false],
    ['a first server after tries that reached none', { remainingTries: 1 }, true],
    ['the last try', { remainingTries: 0 }, false],
    ['a call that may run only once', { isIdempotent: false }, false],
    ['a suspected server', { isSuspected: true }, false],
  ])('%s', (_, changes, expected) => {
    expect(mayMoveCall({ ...current, ...changes })).toBe(expected);
  });
});
