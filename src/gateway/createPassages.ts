/**
 * Keeps which engines have just worked for a stream of this VM. An event that arrives has passed all engines of its
 * chain, so none of them has to be asked whether it runs.
 */

export interface Passages {
  /** Records the engines of a chain from which an event has arrived. */
  readonly record: (ids: readonly string[]) => void;
  /** Whether an event has passed the engine in the last moments. */
  readonly isRecent: (id: string) => boolean;
  /** Drops all other engines. */
  readonly retain: (ids: { readonly has: (id: string) => boolean }) => void;
}

/** Time for which an event shows that an engine runs, milliseconds: less than a silence after which it is asked. */
const PASSAGE_VALID_MS = 60;

/** @param now monotonic clock, milliseconds */
export function createPassages(now: () => number): Passages {
  const passedMs = new Map<string, number>();
  return {
    record: (ids) => {
      for (const id of ids) passedMs.set(id, now());
    },
    isRecent: (id) => now() - (passedMs.get(id) ?? Number.NEGATIVE_INFINITY) < PASSAGE_VALID_MS,
    retain: (ids) => {
      for (const id of passedMs.keys()) if (!ids.has(id)) passedMs.delete(id);
    },
  };
}
