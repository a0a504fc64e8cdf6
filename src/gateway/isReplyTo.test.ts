import { isReplyTo } from './isReplyTo';

describe('isReplyTo', () => {
  it.each([
    ['r1', true],
    ['r0', false],
    ['', false],
    [undefined, true],
  ])('takes a reply that names %s for the reply to r1: %s', (requestId, expected) => {
    expect(isReplyTo({ requestId }, 'r1')).toBe(expected);
  });
});
