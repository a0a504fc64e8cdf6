/** Runs a function once after a delay, without keeping the process alive for it. */

/**
 * @param run the function
 * @param delayMs milliseconds
 */
export function callLater(run: () => void, delayMs: number): void {
  setTimeout(run, delayMs).unref();
}
