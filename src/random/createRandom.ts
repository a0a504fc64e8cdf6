/** A seeded generator, for decisions that need several draws and for measurements. */

import { unsafeUniformIntDistribution, xoroshiro128plus } from 'pure-rand';

/** Draws in a fixed order from one seed. */
export interface Random {
  /** Uniform in [0, 1). */
  readonly next: () => number;
  /** Uniform whole number in [0, below). */
  readonly integer: (below: number) => number;
  /** Exponential with this mean. */
  readonly exponential: (mean: number) => number;
  /** One item; the list is not empty. */
  readonly pick: <Item>(items: readonly Item[]) => Item;
}

/** Whole numbers that one draw can take, 2^32. */
const DRAWS = 0x1_0000_0000;

/**
 * Starts a generator.
 *
 * @param seed any whole number; the same seed gives the same draws
 */
export function createRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  const integer = (below: number): number => unsafeUniformIntDistribution(0, below - 1, generator);
  const next = (): number => integer(DRAWS) / DRAWS;
  return {
    next,
    integer,
    exponential: (mean) => -mean * Math.log(1 - next()),
    pick: (items) => {
      const item = items[integer(items.length)];
      if (item === undefined) throw new RangeError('Nothing to pick from');
      return item;
    },
  };
}
