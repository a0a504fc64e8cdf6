/**
 * Chooses how long to wait for the next change of the catalog. A wait that ends quietly confirms the
 * catalog; one that ends with a change only confirms that it was the newest when the wait began. After
 * such a change the next wait is short, so that the confirmation does not lapse meanwhile.
 */

export interface ConfirmationWaitOptions {
  /** Age from which a confirmation no longer counts, milliseconds. */
  readonly limitMs: number;
  /** Longest wait, milliseconds. */
  readonly longestMs: number;
}

/** Time for an answer to come after the wait, milliseconds: a slow store and a busy VM. */
const ANSWER_MS = 500;

/** Shortest wait, milliseconds; a shorter one would be a loop of reads. */
const SHORTEST_MS = 200;

/**
 * @param ageMs age of the last confirmation, milliseconds
 * @returns milliseconds
 */
export function chooseConfirmationWait(
  ageMs: number,
  { limitMs, longestMs }: ConfirmationWaitOptions,
): number {
  const leftMs = limitMs - ageMs - ANSWER_MS;
  return Math.floor(Math.min(longestMs, Math.max(SHORTEST_MS, leftMs)));
}
