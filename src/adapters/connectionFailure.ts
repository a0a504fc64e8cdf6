/** Tells a connection that was never made from one that broke after bytes may have left. */

/** The HTTP client's own code where the connection was not made in time. */
const CONNECT_TIMEOUT = 'UND_ERR_CONNECT_TIMEOUT';

const TIMED_OUT: ReadonlySet<string> = new Set([
  'UND_ERR_HEADERS_TIMEOUT',
  'UND_ERR_BODY_TIMEOUT',
  'UND_ERR_ABORTED',
  'ABORT_ERR',
]);

/**
 * Classes a failure of an HTTP call. The code alone does not tell: a connection that was made may
 * break with `EHOSTUNREACH` as well, so the system call has to be `connect`.
 *
 * @param error what the HTTP client threw
 * @returns `unreachable` only where the connection was never made
 */
export function connectionFailure(error: unknown): 'unreachable' | 'timeout' | 'reset' {
  const code = readText(error, 'code');
  if (code === CONNECT_TIMEOUT || readText(error, 'syscall') === 'connect') return 'unreachable';
  if (TIMED_OUT.has(code) || readText(error, 'name') === 'TimeoutError') return 'timeout';
  return 'reset';
}

function readText(error: unknown, property: 'code' | 'name' | 'syscall'): string {
  if (typeof error !== 'object' || error === null) return '';
  const value = (error as Readonly<Record<string, unknown>>)[property];
  return typeof value === 'string' ? value : '';
}
