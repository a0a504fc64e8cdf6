/** Waits; the stand-ins' only clock. */

/**
 * Resolves after a time.
 *
 * @param ms milliseconds; 0 or less resolves in the same turn
 */
export async function sleep(ms: number): Promise<void> {
  if (ms > 0) await new Promise((resolve) => setTimeout(resolve, ms));
}
