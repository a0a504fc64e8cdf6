/**
 * Follows how long streams wait for their first event at each engine that they enter. Reading a prompt
 * queues up behind all other reading on the chain, which no count of requests or memory shows; streams
 * that still wait count with the time that they have waited so far.
 */

export interface StartWait {
  /** Its first event came. */
  readonly started: () => void;
  /** It ended without one. */
  readonly ended: () => void;
}

export interface StartTimes {
  readonly begin: (server: string) => StartWait;
  /** Time that a stream which enters there now is likely to wait, milliseconds. */
  readonly predictMs: (server: string) => number;
}

/** Weight of the newest stream in the mean. */
const NEWEST_WEIGHT = 0.3;

/** Time over which an old mean loses half of its weight, milliseconds: queues clear in seconds. */
const HALF_LIFE_MS = 800;

interface Mean {
  readonly ms: number;
  readonly atMs: number;
}

/**
 * @param now monotonic clock, milliseconds
 */
export function createStartTimes(now: () => number): StartTimes {
  const means = new Map<string, Mean>();
  const waiting = new Map<string, Set<number>>();
  const meanOf = (server: string): number => {
    const mean = means.get(server);
    return mean === undefined ? 0 : mean.ms * 0.5 ** ((now() - mean.atMs) / HALF_LIFE_MS);
  };
  return {
    begin: (server) => {
      const startedMs = now();
      const waits = waiting.get(server) ?? new Set();
      waiting.set(server, waits.add(startedMs));
      const ended = (): void => {
        waits.delete(startedMs);
      };
      return {
        started: () => {
          ended();
          const ms = meanOf(server) * (1 - NEWEST_WEIGHT) + (now() - startedMs) * NEWEST_WEIGHT;
          means.set(server, { ms, atMs: now() });
        },
        ended,
      };
    },
    predictMs: (server) => {
      const ages = [...(waiting.get(server) ?? [])].map((startedMs) => now() - startedMs);
      const sorted = ages.sort((one, other) => one - other);
      const median = sorted[Math.floor(sorted.length / 2)] ?? 0;
      return Math.max(meanOf(server), median);
    },
  };
}
