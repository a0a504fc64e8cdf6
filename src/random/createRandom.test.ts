import { createRandom } from './createRandom';

describe('createRandom', () => {
  it('returns the same sequence for the same seed', () => {
    const first = createRandom(7);
    const second = createRandom(7);
    const draws = [first.next(), first.integer(10), first.exponential(5)];
    expect(draws).toEqual([second.next(), second.integer(10), second.exponential(5)]);
  });

  it('keeps results in range', () => {
    const random = createRandom(1);
    for (let draw = 0; draw < 1000; draw += 1) {
      expect(random.next()).toBeLessThan(1);
      expect(random.integer(3)).toBeLessThan(3);
      expect(['a', 'b']).toContain(random.pick(['a', 'b']));
    }
  });

  it('throws when it picks from an empty list', () => {
    expect(() => createRandom(1).pick([])).toThrow(RangeError);
  });
});
