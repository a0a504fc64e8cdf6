/**
 * Chooses how long to wait for the next change of the catalog. A wait that ends without a change confirms
 * the catalog; a wait that ends with a change confirms it only as of the start of the wait. The wait after
 * a change is therefore short enough to end before the confirmation expires.
 */

export interface ConfirmationWaitOptions {
  /** Age from which a confirmation no longer counts, milliseconds. */
  readonly limitMs: number;
  /** Longest wait, milliseconds. */
  readonly longestMs: number;
}

/** Time allowed for the answer after the wait, for a slow store and a busy VM. */
const ANSWER_MS = 500;

/** Shortest wait; a shorter one would read the store in a busy loop. */
const SHORTEST_MS = 200;

/**
 * @param ageMs age of the last confirmation, milliseconds
 * @returns duration of the wait, milliseconds
 */
export function chooseConfirmationWait(
  ageMs: number,
  { limitMs, longestMs }: ConfirmationWaitOptions,
): number {
  const leftMs = limitMs - ageMs - ANSWER_MS;
  return Math.floor(Math.min(longestMs, Math.max(SHORTEST_MS, leftMs)));
}
