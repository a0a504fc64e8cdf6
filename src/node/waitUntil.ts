/** Waits for a condition that nothing announces. */

/** Time between two looks, milliseconds; short against the grace of a stop. */
const INTERVAL_MS = 50;

/**
 * @param isDone the condition
 * @param onLook called before each look but the first
 */
export async function waitUntil(isDone: () => boolean, onLook: () => void): Promise<void> {
  while (!isDone()) {
    await new Promise((resolve) => setTimeout(resolve, INTERVAL_MS));
    onLook();
  }
}
