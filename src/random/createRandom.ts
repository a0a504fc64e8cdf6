/** A seeded pseudorandom generator, for decisions that need several random numbers and for measurements. */

import { unsafeUniformIntDistribution, xoroshiro128plus } from 'pure-rand';

/** A generator whose sequence is determined by its seed. */
export interface Random {
  /** Uniform in [0, 1). */
  readonly next: () => number;
  /** Uniform integer in [0, below). */
  readonly integer: (below: number) => number;
  /** Exponentially distributed number with this mean. */
  readonly exponential: (mean: number) => number;
  /** A uniformly chosen item; throws a RangeError if the list is empty. */
  readonly pick: <Item>(items: readonly Item[]) => Item;
}

/** Number of distinct 32-bit values, 2^32. */
const UINT32_RANGE = 0x1_0000_0000;

/**
 * Creates a generator.
 *
 * @param seed any integer; the same seed gives the same sequence
 */
export function createRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  const integer = (below: number): number => unsafeUniformIntDistribution(0, below - 1, generator);
  const next = (): number => integer(UINT32_RANGE) / UINT32_RANGE;
  return {
    next,
    integer,
    exponential: (mean) => -mean * Math.log(1 - next()),
    pick: (items) => {
      const item = items[integer(items.length)];
      if (item === undefined) throw new RangeError('Cannot pick from an empty list');
      return item;
    },
  };
}
