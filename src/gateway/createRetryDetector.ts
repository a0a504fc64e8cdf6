/**
 * Detects requests that a caller has sent before. Callers of a route start with about the same deadline,
 * so a caller with much less time left has spent the difference on earlier attempts.
 */

export interface RetryDetector {
  /**
   * @param route name of the route
   * @param deadlineMs time that the caller still waits, milliseconds; undefined if it does not state it
   * @param targetMs latency target of the route, milliseconds
   * @returns whether the caller has already spent more time than the target
   */
  readonly isRetry: (route: string, deadlineMs: number | undefined, targetMs: number) => boolean;
}

/** Creates a detector without known callers. */
export function createRetryDetector(): RetryDetector {
  const longestMs = new Map<string, number>();
  return {
    isRetry: (route, deadlineMs, targetMs) => {
      if (deadlineMs === undefined) return false;
      const longest = Math.max(longestMs.get(route) ?? 0, deadlineMs);
      longestMs.set(route, longest);
      return longest - deadlineMs > targetMs;
    },
  };
}
