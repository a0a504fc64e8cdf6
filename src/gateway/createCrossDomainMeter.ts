/** Measures the traffic of this VM's requests over the links between failure domains. */

import type { Stage } from '../chains/layerEngine';
import { createRateMeter } from './createRateMeter';

export interface CrossDomainMeter {
  /**
   * Number of cross-domain hops of a path. Hops between two engines in `kept` are not counted, since both
   * already hold the request's state.
   */
  readonly count: (stages: readonly Stage[], kept?: ReadonlySet<string>) => number;
  /** Records a request with that many tokens that starts on a path or moves to it. */
  readonly recordRequest: (
    stages: readonly Stage[],
    tokens: number,
    kept?: ReadonlySet<string>,
  ) => void;
  /** Tokens per millisecond, counted once for each cross-domain hop. */
  readonly tokensPerMs: () => number;
}

export interface CrossDomainMeterOptions {
  /** Failure domain of an engine; undefined if the engine is not listed. */
  readonly domainOf: (id: string) => string | undefined;
  /** Monotonic clock, milliseconds. */
  readonly now: () => number;
}

/** Time constant of the measured rate; long enough for a prompt to pass a link. */
const WINDOW_MS = 1_000;

const NONE: ReadonlySet<string> = new Set();

/** Creates a meter without any recorded traffic. */
export function createCrossDomainMeter({
  domainOf,
  now,
}: CrossDomainMeterOptions): CrossDomainMeter {
  const rate = createRateMeter(WINDOW_MS);
  const count = (stages: readonly Stage[], kept = NONE): number =>
    stages.filter(({ id }, index) => {
      const previous = stages[index - 1]?.id ?? '';
      const domain = domainOf(previous);
      const isKept = kept.has(previous) && kept.has(id);
      return domain !== undefined && !isKept && domain !== domainOf(id);
    }).length;
  return {
    count,
    recordRequest: (stages, tokens, kept) => {
      rate.add(count(stages, kept) * tokens, now());
    },
    tokensPerMs: () => rate.perMs(now()),
  };
}
