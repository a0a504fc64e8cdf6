import type { StoreRow } from '../../contracts/watchedStore';
import { createRowCache } from './createRowCache';

const createRow = (value: string): StoreRow => ({
  key: 'a',
  value,
  position: { era: 0, version: 1 },
});

describe('createRowCache', () => {
  it('decodes a row once, and a changed row again', () => {
    const decoded: string[] = [];
    const decode = createRowCache(({ value }) => {
      decoded.push(value ?? '');
      return value === 'bad' ? undefined : value;
    });
    const [row, changed, unreadable] = ['1', '2', 'bad'].map(createRow) as [
      StoreRow,
      StoreRow,
      StoreRow,
    ];
    expect([row, row, changed, unreadable, unreadable].map(decode)).toEqual([
      '1',
      '1',
      '2',
      undefined,
      undefined,
    ]);
    expect(decoded).toEqual(['1', '2', 'bad']);
  });
});
