/** Waits; the demo's only clock besides `Date.now`. */

/**
 * Resolves after a time.
 *
 * @param ms milliseconds
 */
export function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
