/** Exit codes that tell scripts the outcome of a command. */

export const EXIT = {
  ok: 0,
  /** The router refused the request, or it is impossible in the current state. */
  refused: 1,
  /** Wrong arguments, a wrong token or a role without the required permission. */
  usage: 2,
  /** No VM or the platform's table could not be reached. */
  unreachable: 3,
  /** Another operator's change was committed first; the reply may contain a new plan. */
  conflict: 4,
  /** The change may have been carried out; check before sending it again. */
  unknown: 5,
} as const;

const EXIT_BY_STATUS: Readonly<Record<number, number>> = {
  400: EXIT.usage,
  401: EXIT.usage,
  403: EXIT.usage,
  409: EXIT.conflict,
  503: EXIT.unreachable,
  504: EXIT.unknown,
};

/**
 * Returns the exit code for a reply.
 *
 * @param status HTTP status, or 0 if no VM was reached
 */
export function getExitCode(status: number): number {
  if (status === 0) return EXIT.unreachable;
  if (status < 400) return EXIT.ok;
  return EXIT_BY_STATUS[status] ?? EXIT.refused;
}
