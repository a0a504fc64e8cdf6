/** Polls a condition that no event signals. */

/** Time between two polls, milliseconds; short relative to the grace period of a stop. */
const POLL_INTERVAL_MS = 50;

/**
 * @param isDone the condition
 * @param onPoll called before each check of the condition except the first
 */
export async function waitUntil(isDone: () => boolean, onPoll: () => void): Promise<void> {
  while (!isDone()) {
    await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS));
    onPoll();
  }
}
