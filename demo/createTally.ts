/** Counts the outcomes that callers saw, one for each request. */

export interface TallyCounts {
  readonly requests: number;
  readonly answered: number;
  readonly notRun: number;
  readonly unknown: number;
  readonly failed: number;
  /** Answers with wrong content. */
  readonly wrongAnswers: number;
  /** Streams that ended before the answer was complete; the caller retried. */
  readonly cutStreams: number;
}

export interface Tally {
  readonly add: (what: keyof TallyCounts) => void;
  readonly counts: () => TallyCounts;
}

/** Creates counters at 0. */
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
