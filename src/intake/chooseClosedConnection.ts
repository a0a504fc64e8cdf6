/**
 * Chooses the connection to close when callers have as many open as the VM can hold. The load: callers that open
 * connections and send nothing, or a part of a request, and stay. A connection with a complete request is never
 * closed; of the others, the one that has gone longest without one.
 */

export interface CallerConnection {
  readonly id: number;
  /** Whether a complete request waits for its answer. */
  readonly isServing: boolean;
  /** Time at which it was opened or its last answer was sent, monotonic, milliseconds. */
  readonly waitingSinceMs: number;
}

/** @returns id of the connection to close; undefined if all serve requests */
export function chooseClosedConnection(
  connections: readonly CallerConnection[],
): number | undefined {
  return connections
    .filter(({ isServing }) => !isServing)
    .reduce<CallerConnection | undefined>(
      (oldest, connection) =>
        oldest === undefined || connection.waitingSinceMs < oldest.waitingSinceMs
          ? connection
          : oldest,
      undefined,
    )?.id;
}
