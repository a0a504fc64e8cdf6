/** Distinguishes a connection that was never established from one that failed after data may have been sent. */

/** Error code of the HTTP client for a connection attempt that timed out. */
const CONNECT_TIMEOUT_CODE = 'UND_ERR_CONNECT_TIMEOUT';

const TIMEOUT_CODES: ReadonlySet<string> = new Set([
  'UND_ERR_HEADERS_TIMEOUT',
  'UND_ERR_BODY_TIMEOUT',
  'UND_ERR_ABORTED',
  'ABORT_ERR',
]);

/**
 * Classifies the failure of an HTTP call. The error code alone is ambiguous: an established
 * connection can fail with `EHOSTUNREACH` too, so the failed system call must be `connect`.
 *
 * @param error the error that the HTTP client threw
 * @returns `unreachable` only if the connection was never established
 */
export function classifyConnectionFailure(error: unknown): 'unreachable' | 'timeout' | 'reset' {
  const code = readProperty(error, 'code');
  if (code === CONNECT_TIMEOUT_CODE || readProperty(error, 'syscall') === 'connect')
    return 'unreachable';
  if (TIMEOUT_CODES.has(code) || readProperty(error, 'name') === 'TimeoutError') return 'timeout';
  return 'reset';
}

function readProperty(error: unknown, property: 'code' | 'name' | 'syscall'): string {
  if (typeof error !== 'object' || error === null) return '';
  const value = (error as Readonly<Record<string, unknown>>)[property];
  return typeof value === 'string' ? value : '';
}
