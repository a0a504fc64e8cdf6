/** Tracks the failure share and latency of recent calls to each plain backend server. */

export interface CallStatistics {
  /** Share of recent calls that failed, 0 to 1. */
  readonly failureShare: number;
  /** Mean duration of recent calls, milliseconds. */
  readonly meanMs: number;
}

export interface CallHistory {
  readonly statisticsOf: (server: string) => CallStatistics;
  readonly recordCall: (server: string, isFailure: boolean, tookMs: number) => void;
}

/** Weight of the newest call in the means. */
const NEWEST_WEIGHT = 0.25;

/** Half-life of the means; old failures lose their weight, so the server is tried again. */
const HALF_LIFE_MS = 1_500;

const NO_CALLS: CallStatistics = { failureShare: 0, meanMs: 0 };

/**
 * @param now monotonic clock, milliseconds
 */
export function createCallHistory(now: () => number): CallHistory {
  const records = new Map<string, CallStatistics & { readonly atMs: number }>();
  const statisticsOf = (server: string): CallStatistics => {
    const record = records.get(server);
    if (record === undefined) return NO_CALLS;
    const decay = 0.5 ** ((now() - record.atMs) / HALF_LIFE_MS);
    return { failureShare: record.failureShare * decay, meanMs: record.meanMs * decay };
  };
  return {
    statisticsOf,
    recordCall: (server, isFailure, tookMs) => {
      const { failureShare, meanMs } = statisticsOf(server);
      const average = (previous: number, newest: number): number =>
        previous * (1 - NEWEST_WEIGHT) + newest * NEWEST_WEIGHT;
      records.set(server, {
        failureShare: average(failureShare, isFailure ? 1 : 0),
        meanMs: average(meanMs, tookMs),
        atMs: now(),
      });
    },
  };
}
