/** Tells failures of a server from other answers. */

/** Lowest HTTP status that reports a failure of the server. */
const FIRST_FAILURE_STATUS = 500;

/** @returns whether an answer with this HTTP status reports a failure of the server */
export function isServerFailure(status: number): boolean {
  return status >= FIRST_FAILURE_STATUS;
}
