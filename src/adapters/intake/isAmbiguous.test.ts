/** Guards against requests that reach a server with two values in one field, or with an undecoded body. */

import { isAmbiguous } from './isAmbiguous';

const SINGLE = new Set(['host', 'x-request-id']);

const check = (lines: readonly (readonly [string, string])[]): boolean =>
  isAmbiguous(
    {
      rawHeaders: lines.flat(),
      headers: Object.fromEntries(lines.map(([name, value]) => [name.toLowerCase(), value])),
    },
    SINGLE,
  );

describe('isAmbiguous', () => {
  it('allows each single field once, and others any number of times', () => {
    expect(
      check([
        ['Host', 'a'],
        ['X-Request-Id', 'r1'],
        ['Accept', 'b'],
        ['Accept', 'c'],
        ['Transfer-Encoding', 'Chunked '],
      ]),
    ).toBe(false);
  });

  it('finds a repeated single field, in any letters, also with the same value', () => {
    expect(
      check([
        ['X-Request-Id', 'r1'],
        ['x-request-ID', 'r1'],
      ]),
    ).toBe(true);
  });

  it('finds a coding below the chunks', () => {
    expect(check([['Transfer-Encoding', 'gzip, chunked']])).toBe(true);
  });
});
