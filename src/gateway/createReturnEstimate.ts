/**
 * Tells callers that have asked before from those that ask for the first time. Callers of a route start
 * with about the same time to wait, so one that has much less left has spent it on earlier tries.
 */

export interface ReturnEstimate {
  /**
   * @param route name of the route
   * @param deadlineMs time that the caller still waits, milliseconds; undefined where it does not say
   * @param targetMs target of the route, milliseconds
   * @returns whether the caller has spent more than the target already
   */
  readonly isReturning: (
    route: string,
    deadlineMs: number | undefined,
    targetMs: number,
  ) => boolean;
}

/** Creates an estimate that has seen no callers. */
export function createReturnEstimate(): ReturnEstimate {
  const longestMs = new Map<string, number>();
  return {
    isReturning: (route, deadlineMs, targetMs) => {
      if (deadlineMs === undefined) return false;
      const longest = Math.max(longestMs.get(route) ?? 0, deadlineMs);
      longestMs.set(route, longest);
      return longest - deadlineMs > targetMs;
    },
  };
}
