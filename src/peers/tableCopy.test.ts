import { applyTableChanges, createTableCopy, listTableChanges } from './tableCopy';

const row = (key: string, version: number) => ({ key, value: `${key}${version}`, version });
const removal = (key: string, version: number) => ({ key, value: undefined, version });

describe('listTableChanges', () => {
  const copy = applyTableChanges(
    createTableCopy([row('a', 3), row('b', 5)], 7),
    [row('a', 8), removal('b', 9), row('c', 10)],
    10,
  );

  it('lists rows changed and removed since a version', () => {
    expect(listTableChanges(copy, 7)).toEqual([row('a', 8), row('c', 10), removal('b', 9)]);
    expect(listTableChanges(copy, 9)).toEqual([row('c', 10)]);
    expect(listTableChanges(copy, 10)).toEqual([]);
  });

  it('returns undefined for versions before the table was read', () => {
    expect(listTableChanges(copy, 6)).toBeUndefined();
  });

  it('lists a row that was removed and added again as present', () => {
    const again = applyTableChanges(copy, [row('b', 11)], 11);
    expect(listTableChanges(again, 7)).toContainEqual(row('b', 11));
    expect(listTableChanges(again, 7)).not.toContainEqual(removal('b', 9));
  });

  it('drops the oldest removals and returns undefined for versions before them', () => {
    const removals = Array.from({ length: 501 }, (_, index) => removal(`k${index}`, 20 + index));
    const full = applyTableChanges(copy, removals, 520);
    expect(listTableChanges(full, 8)).toBeUndefined();
    expect(listTableChanges(full, 20)).toHaveLength(500);
  });
});

describe('applyTableChanges', () => {
  it('keeps the newest version when an older answer arrives late', () => {
    expect(applyTableChanges(createTableCopy([], 9), [], 4).version).toBe(9);
  });
});
