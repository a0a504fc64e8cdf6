import { findEventEnd } from './findEventEnd';

describe('findEventEnd', () => {
  it.each([
    ['id: 1\n\nid: 2\n\n', 7],
    ['id: 1\r\n\r\nid: 2\n\n', 9],
    ['id: 1\r\n\n', 8],
    ['id: 1\ndata: a\r', undefined],
    ['id: 1\n\r', undefined],
    ['', undefined],
  ])('%j ends at %s', (text, expected) => {
    expect(findEventEnd(Buffer.from(text))).toBe(expected);
  });

  it('looks from an offset', () => {
    expect(findEventEnd(Buffer.from('a\n\nb\n\n'), 3)).toBe(6);
  });
});
