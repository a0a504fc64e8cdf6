/** Measures how much this VM's requests send over the links between failure domains. */

import type { Stage } from '../chains/layerEngine';
import { createRateMeter } from './createRateMeter';

export interface CrossingMeter {
  /** Links that a path crosses; none between engines that both hold the request's state already. */
  readonly count: (stages: readonly Stage[], kept?: ReadonlySet<string>) => number;
  /** Notes a request of so many tokens that begins on a path, or goes on on a new one. */
  readonly add: (stages: readonly Stage[], tokens: number, kept?: ReadonlySet<string>) => void;
  /** Tokens a millisecond, each link counted. */
  readonly perMs: () => number;
}

export interface CrossingMeterOptions {
  /** Failure domain of an engine; undefined where it is not listed. */
  readonly domainOf: (id: string) => string | undefined;
  /** Monotonic clock, milliseconds. */
  readonly now: () => number;
}

/** Time over which the use of the links is measured, milliseconds: a prompt crosses within it. */
const WINDOW_MS = 1_000;

const NONE: ReadonlySet<string> = new Set();

/** Creates a meter that has seen nothing. */
export function createCrossingMeter({ domainOf, now }: CrossingMeterOptions): CrossingMeter {
  const rate = createRateMeter(WINDOW_MS);
  const count = (stages: readonly Stage[], kept = NONE): number =>
    stages.filter(({ id }, index) => {
      const before = stages[index - 1]?.id ?? '';
      const domain = domainOf(before);
      const isKept = kept.has(before) && kept.has(id);
      return domain !== undefined && !isKept && domain !== domainOf(id);
    }).length;
  return {
    count,
    add: (stages, tokens, kept) => {
      rate.add(count(stages, kept) * tokens, now());
    },
    perMs: () => rate.perMs(now()),
  };
}
