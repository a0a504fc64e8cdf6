/**
 * Decides whether a call whose server is silent may be moved to another server. A server may be silent for
 * a moment and go on, so a run is given up only where the rules leave room for another one.
 */

export interface CallTry {
  readonly isIdempotent: boolean;
  /** Distinct servers that may receive the request. */
  readonly maxAttempts: number;
  /** Servers that the request was sent to, including the silent one. */
  readonly servers: ReadonlySet<string>;
  /** Tries that may follow this one. */
  readonly remainingTries: number;
  /** Whether the server is suspected, and was chosen because there is no other. */
  readonly isSuspected: boolean;
}

/** @returns whether the request may be sent to a further server while this one is silent */
export function mayMoveCall(current: CallTry): boolean {
  const { isIdempotent, maxAttempts, servers, remainingTries, isSuspected } = current;
  return isIdempotent && !isSuspected && remainingTries > 0 && servers.size < maxAttempts;
}
