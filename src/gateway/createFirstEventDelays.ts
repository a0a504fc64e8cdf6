/**
 * Tracks the delay from sending a stream to an engine until its first event. Prompts queue for prefill
 * behind all other prompts on the chain, which counts of requests or memory do not show. Streams that
 * still wait count with the time that they have waited so far.
 */

export interface FirstEventWait {
  /** Records the first event of the stream. */
  readonly started: () => void;
  /** Stops the measurement; without effect after the first event. */
  readonly ended: () => void;
}

export interface FirstEventDelays {
  /** Starts the measurement for a stream whose chain starts at the server. */
  readonly trackStream: (server: string) => FirstEventWait;
  /** Expected delay of the first event of a stream that starts there now, milliseconds. */
  readonly predictMs: (server: string) => number;
}

/** Weight of the newest stream in the mean. */
const NEWEST_WEIGHT = 0.3;

/** Half-life of the mean; queues clear within seconds. */
const HALF_LIFE_MS = 800;

interface Mean {
  readonly ms: number;
  readonly atMs: number;
}

/**
 * @param now monotonic clock, milliseconds
 */
export function createFirstEventDelays(now: () => number): FirstEventDelays {
  const means = new Map<string, Mean>();
  const waiting = new Map<string, Set<number>>();
  const meanOf = (server: string): number => {
    const mean = means.get(server);
    return mean === undefined ? 0 : mean.ms * 0.5 ** ((now() - mean.atMs) / HALF_LIFE_MS);
  };
  return {
    trackStream: (server) => {
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
