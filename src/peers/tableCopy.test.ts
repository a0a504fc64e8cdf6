import type { Position } from '../contracts/position';
import { applyTableChanges, createTableCopy, listTableChanges } from './tableCopy';

const at = (version: number, era = 0): Position => ({ era, version });
const row = (key: string, version: number, era = 0) => ({
  key,
  value: `${key}${version}`,
  position: at(version, era),
});
const removal = (key: string, version: number) => ({
  key,
  value: undefined,
  position: at(version),
});

describe('listTableChanges', () => {
  const copy = applyTableChanges(
    createTableCopy([row('a', 3), row('b', 5)], at(7)),
    [row('a', 8), removal('b', 9), row('c', 10)],
    at(10),
  );

  it('lists rows changed and removed since a version', () => {
    expect(listTableChanges(copy, at(7))).toEqual([row('a', 8), row('c', 10), removal('b', 9)]);
    expect(listTableChanges(copy, at(9))).toEqual([row('c', 10)]);
    expect(listTableChanges(copy, at(10))).toEqual([]);
  });

  it('returns undefined for versions before the table was read', () => {
    expect(listTableChanges(copy, at(6))).toBeUndefined();
  });

  it('lists a row that was removed and added again as present', () => {
    const again = applyTableChanges(copy, [row('b', 11)], at(11));
    expect(listTableChanges(again, at(7))).toContainEqual(row('b', 11));
    expect(listTableChanges(again, at(7))).not.toContainEqual(removal('b', 9));
  });

  it('drops the oldest removals and returns undefined for versions before them', () => {
    const removals = Array.from({ length: 501 }, (_, index) => removal(`k${index}`, 20 + index));
    const full = applyTableChanges(copy, removals, at(520));
    expect(listTableChanges(full, at(8))).toBeUndefined();
    expect(listTableChanges(full, at(20))).toHaveLength(500);
  });
});

describe('listTableChanges across eras', () => {
  it('returns undefined for a position of another era, whatever its version', () => {
    const copy = createTableCopy([row('a', 3, 1)], at(5, 1));
    expect(listTableChanges(copy, at(5, 1))).toEqual([]);
    expect(listTableChanges(copy, at(5, 0))).toBeUndefined();
    expect(listTableChanges(copy, at(9, 0))).toBeUndefined();
    expect(listTableChanges(copy, at(5, 2))).toBeUndefined();
  });
});

describe('applyTableChanges', () => {
  it('keeps the newest version when an older answer arrives late', () => {
    expect(applyTableChanges(createTableCopy([], at(9)), [], at(4)).position).toEqual(at(9));
  });
});
