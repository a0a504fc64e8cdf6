/** Exit codes of the command line, so that scripts can tell what became of a command. */

export const EXIT = {
  ok: 0,
  /** The router refused, or what was asked for is impossible as things are. */
  refused: 1,
  /** Wrong arguments, a wrong token or a role that is too low. */
  usage: 2,
  /** No VM could be reached, or the platform's table could not. */
  unreachable: 3,
  /** Another operator's change came first; there may be a fresh plan. */
  conflict: 4,
  /** It may have been carried out; look before asking again. */
  unknown: 5,
} as const;

const EXIT_OF_STATUS: Readonly<Record<number, number>> = {
  400: EXIT.usage,
  401: EXIT.usage,
  403: EXIT.usage,
  409: EXIT.conflict,
  503: EXIT.unreachable,
  504: EXIT.unknown,
};

/**
 * Gives the exit code for an answer.
 *
 * @param status HTTP status, or 0 where no VM was reached
 */
export function exitCode(status: number): number {
  if (status === 0) return EXIT.unreachable;
  if (status < 400) return EXIT.ok;
  return EXIT_OF_STATUS[status] ?? EXIT.refused;
}
