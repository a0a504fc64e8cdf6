/** What recent calls say of each plain backend server. */

export interface CallRecord {
  /** Part of recent calls that failed, 0 to 1. */
  readonly failureShare: number;
  /** Mean time of recent calls, milliseconds. */
  readonly meanMs: number;
}

export interface CallHistory {
  readonly of: (server: string) => CallRecord;
  readonly note: (server: string, isFailure: boolean, tookMs: number) => void;
}

/** Weight of the newest call in the means. */
const NEWEST_WEIGHT = 0.25;

/** Time over which an old failure loses half of its weight, so that a server is tried again. */
const HALF_LIFE_MS = 1_500;

const NO_CALLS: CallRecord = { failureShare: 0, meanMs: 0 };

/**
 * @param now monotonic clock, milliseconds
 */
export function createCallHistory(now: () => number): CallHistory {
  const records = new Map<string, CallRecord & { readonly atMs: number }>();
  const of = (server: string): CallRecord => {
    const record = records.get(server);
    if (record === undefined) return NO_CALLS;
    const faded = 0.5 ** ((now() - record.atMs) / HALF_LIFE_MS);
    return { failureShare: record.failureShare * faded, meanMs: record.meanMs * faded };
  };
  return {
    of,
    note: (server, isFailure, tookMs) => {
      const { failureShare, meanMs } = of(server);
      const mix = (old: number, fresh: number): number =>
        old * (1 - NEWEST_WEIGHT) + fresh * NEWEST_WEIGHT;
      records.set(server, {
        failureShare: mix(failureShare, isFailure ? 1 : 0),
        meanMs: mix(meanMs, tookMs),
        atMs: now(),
      });
    },
  };
}
