/**
 * Resolves after a delay.
 *
 * @param ms delay; 0 or less sets no timer
 */
export async function sleep(ms: number): Promise<void> {
  if (ms > 0) await new Promise((resolve) => setTimeout(resolve, ms));
}
