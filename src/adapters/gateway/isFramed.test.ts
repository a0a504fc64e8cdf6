import { isFramed } from './isFramed';

describe('isFramed', () => {
  it.each<[string, Readonly<Record<string, string>>, boolean]>([
    ['a length', { 'content-length': '0' }, true],
    ['chunks', { 'transfer-encoding': 'chunked' }, true],
    ['neither', { connection: 'close' }, false],
  ])('knows the end of a reply with %s', (_, headers, expected) => {
    expect(isFramed({ headers })).toBe(expected);
  });
});
