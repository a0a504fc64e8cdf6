import { comparePositions } from './comparePositions';

describe('comparePositions', () => {
  it('orders by version within an era', () => {
    expect(comparePositions({ era: 1, version: 7 }, { era: 1, version: 9 })).toBeLessThan(0);
    expect(comparePositions({ era: 1, version: 9 }, { era: 1, version: 9 })).toBe(0);
  });

  it('puts a lower version of a later era after a higher one of an earlier era', () => {
    expect(comparePositions({ era: 2, version: 3 }, { era: 1, version: 9 })).toBeGreaterThan(0);
    expect(comparePositions({ era: 1, version: 9 }, { era: 2, version: 9 })).toBeLessThan(0);
  });
});
