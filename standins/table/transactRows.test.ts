import { transactRows } from './transactRows';

const put = (key: string, value: string | undefined) => ({ table: 't', key, value });

describe('transactRows', () => {
  it('applies every write and increments versions', () => {
    const first = transactRows(new Map(), { conditions: [], writes: [put('a', '1')] });
    if (first.type !== 'committed') throw new Error('conflict');
    const second = transactRows(first.rows, {
      conditions: [{ table: 't', key: 'a', version: 1 }],
      writes: [put('a', '2'), put('b', '1')],
    });
    expect(second).toMatchObject({ type: 'committed', versions: [2, 1] });
  });

  it('applies nothing when a condition fails', () => {
    const result = transactRows(new Map(), {
      conditions: [{ table: 't', key: 'a', version: 3 }],
      writes: [put('b', '1')],
    });
    expect(result).toEqual({
      type: 'conflict',
      failed: [{ table: 't', key: 'a', value: '', version: 0 }],
    });
  });

  it('deletes a row that the same transaction wrote', () => {
    const first = transactRows(new Map(), {
      conditions: [{ table: 't', key: 'a', version: 0 }],
      writes: [put('a', '1'), put('a', undefined)],
    });
    expect(first).toMatchObject({ type: 'committed', versions: [1, 0] });
    if (first.type !== 'committed') throw new Error('conflict');
    expect(first.rows.size).toBe(0);
  });
});
