/** Measures how often requests with each content arrive at this VM, recent ones above all. */

import { LRUCache } from 'lru-cache';

export interface ContentArrivals {
  /** Records a request that has arrived, whether or not it runs. */
  readonly record: (contents: readonly string[]) => void;
  /** Recent requests with the content, older ones counted for less. */
  readonly rateOf: (content: string) => number;
  /** Whether nearly all recent requests that share something with others hold this content. */
  readonly isWidespread: (content: string) => boolean;
}

/** Time after which a request counts for half, milliseconds. */
const HALF_LIFE_MS = 10_000;

const MAX_CONTENTS = 4_096;

/** Share of requests, and requests at least, from which a content is widespread. */
const WIDESPREAD_SHARE = 0.8;
const MIN_REQUESTS = 4;

interface Rate {
  readonly value: number;
  readonly atMs: number;
}

const NONE: Rate = { value: 0, atMs: 0 };

/** @param now monotonic clock, milliseconds */
export function createContentArrivals(now: () => number): ContentArrivals {
  const rates = new LRUCache<string, Rate>({ max: MAX_CONTENTS });
  let sharing = NONE;
  const valueOf = ({ value, atMs }: Rate): number => value * 2 ** ((atMs - now()) / HALF_LIFE_MS);
  const increment = (rate: Rate = NONE): Rate => ({ value: valueOf(rate) + 1, atMs: now() });
  const rateOf = (content: string): number => valueOf(rates.peek(content) ?? NONE);
  return {
    record: (contents) => {
      for (const content of contents) rates.set(content, increment(rates.peek(content)));
      // The whole request is a content too.
      if (contents.length > 1) sharing = increment(sharing);
    },
    rateOf,
    isWidespread: (content) =>
      rateOf(content) >= Math.max(MIN_REQUESTS, valueOf(sharing) * WIDESPREAD_SHARE),
  };
}
