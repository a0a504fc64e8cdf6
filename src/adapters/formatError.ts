/** Formats thrown values for problem details and logs. */

/**
 * Returns the message of an error, with its code if it has one.
 *
 * @param error the thrown value
 */
export function formatError(error: unknown): string {
  if (!(error instanceof Error)) return String(error);
  const code = 'code' in error && typeof error.code === 'string' ? ` (${error.code})` : '';
  return `${error.message}${code}`;
}
