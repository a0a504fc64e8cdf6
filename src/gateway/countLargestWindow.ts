/** Counts the events in the fullest window of a length, for tests of rates. */

/**
 * @param timesMs times of the events, ascending, milliseconds
 * @returns the number of events in the window, wherever it lies, that holds most
 */
export function countLargestWindow(timesMs: readonly number[], windowMs: number): number {
  let first = 0;
  let largest = 0;
  for (const [index, timeMs] of timesMs.entries()) {
    while ((timesMs[first] ?? timeMs) <= timeMs - windowMs) first += 1;
    largest = Math.max(largest, index - first + 1);
  }
  return largest;
}
