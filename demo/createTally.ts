/** Counts what callers saw, each request once by its end. */

export interface TallyCounts {
  readonly requests: number;
  readonly answered: number;
  readonly notRun: number;
  readonly unknown: number;
  readonly failed: number;
  /** Whole answers whose content is not the right one. */
  readonly wrongAnswers: number;
  /** Streams that were seen to end before their answer was whole; the caller asked again. */
  readonly cutStreams: number;
}

export interface Tally {
  readonly add: (what: keyof TallyCounts) => void;
  readonly counts: () => TallyCounts;
}

/** Starts at 0. */
export function createTally(): Tally {
  let counts: TallyCounts = {
    requests: 0,
    answered: 0,
    notRun: 0,
    unknown: 0,
    failed: 0,
    wrongAnswers: 0,
    cutStreams: 0,
  };
  return {
    add: (what) => {
      counts = { ...counts, [what]: counts[what] + 1 };
    },
    counts: () => counts,
  };
}
