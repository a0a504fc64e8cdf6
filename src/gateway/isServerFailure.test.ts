import { isServerFailure } from './isServerFailure';

describe('isServerFailure', () => {
  it.each([
    [200, false],
    [499, false],
    [500, true],
    [503, true],
  ])('%d: %s', (status, expected) => {
    expect(isServerFailure(status)).toBe(expected);
  });
});
