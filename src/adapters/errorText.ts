/** Words of something thrown, for details and logs. */

/**
 * Gives the message of an error, with its code where it has one.
 *
 * @param error anything that was thrown
 */
export function errorText(error: unknown): string {
  if (!(error instanceof Error)) return String(error);
  const code = 'code' in error && typeof error.code === 'string' ? ` (${error.code})` : '';
  return `${error.message}${code}`;
}
