/**
 * Estimates how long a request that is read now has waited for the processor since it reached the VM. Nothing states
 * when bytes arrived in a socket, but what a run of the event loop reads has arrived since the run before began to read,
 * and a timer that comes late shows how long these runs take. Runs shorter than the interval of the timer count as none.
 * The first request of a connection has also waited while the connection was not accepted.
 */

export interface ReadDelay {
  /** Records that the timer has run; called every `intervalMs`. */
  readonly tick: () => void;
  /** Lateness of the last run of the timer, milliseconds. */
  readonly lagMs: () => number;
  /**
   * Records that a connection is accepted now.
   *
   * @param acceptDelayMs time for which new connections wait, milliseconds; 0 if it is not measured
   */
  readonly recordAccepted: (acceptDelayMs: number) => AcceptedConnection;
  /**
   * Estimated delay of a request that is read now, milliseconds.
   *
   * @param connection its connection, if it is the first request there
   */
  readonly estimateMs: (connection?: AcceptedConnection) => number;
}

export interface AcceptedConnection {
  /** Time that it waited before it was accepted, milliseconds. */
  readonly acceptDelayMs: number;
  /** Monotonic, milliseconds. */
  readonly acceptedMs: number;
  /** Total idle time of the event loop when it was accepted, milliseconds. */
  readonly idleMs: number;
}

export interface ReadDelayOptions {
  /** Interval of the timer, milliseconds. */
  readonly intervalMs: number;
  /** Monotonic clock, milliseconds. */
  readonly now: () => number;
  /** Total time for which the event loop has had nothing to do, milliseconds. */
  readonly idleMs: () => number;
}

/** Idle time from which the event loop has read all that had arrived, milliseconds. */
const MIN_IDLE_MS = 1;

export function createReadDelay({ intervalMs, now, idleMs }: ReadDelayOptions): ReadDelay {
  let tickedMs = now();
  let idleAtTickMs = idleMs();
  /** Lateness of the last tick, milliseconds. */
  let lagMs = 0;
  const overdueMs = (): number => Math.max(0, now() - tickedMs - intervalMs);
  const estimateLoopMs = (): number => {
    const idleForMs = idleMs() - idleAtTickMs;
    const busyForMs = now() - tickedMs - idleForMs;
    const busyMs = Math.min(overdueMs(), Math.max(0, busyForMs));
    // The process did not run: what it reads now came at any time meanwhile, as with the run before.
    const stoppedMs = overdueMs() - busyMs;
    const earlierMs = idleForMs < MIN_IDLE_MS ? lagMs : 0;
    return busyMs + (stoppedMs + earlierMs) / 2;
  };
  return {
    tick: () => {
      lagMs = overdueMs();
      tickedMs = now();
      idleAtTickMs = idleMs();
    },
    lagMs: () => lagMs,
    recordAccepted: (acceptDelayMs) => ({
      acceptDelayMs: Math.max(acceptDelayMs, estimateLoopMs()),
      acceptedMs: now(),
      idleMs: idleMs(),
    }),
    estimateMs: (connection) => {
      // After idle time, the request has come since the connection was accepted.
      if (connection === undefined || idleMs() - connection.idleMs >= MIN_IDLE_MS)
        return estimateLoopMs();
      return connection.acceptDelayMs + now() - connection.acceptedMs;
    },
  };
}
