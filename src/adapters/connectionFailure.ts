/** Tells a connection that was never made from one that broke after bytes may have left. */

/** Codes of failures before anything was sent. */
const NEVER_CONNECTED: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'EADDRNOTAVAIL',
  'UND_ERR_CONNECT_TIMEOUT',
]);

const TIMED_OUT: ReadonlySet<string> = new Set([
  'UND_ERR_HEADERS_TIMEOUT',
  'UND_ERR_BODY_TIMEOUT',
  'UND_ERR_ABORTED',
  'ABORT_ERR',
]);

/**
 * Classes a failure of an HTTP call.
 *
 * @param error what the HTTP client threw
 * @returns `unreachable` only where the connection was never made
 */
export function connectionFailure(error: unknown): 'unreachable' | 'timeout' | 'reset' {
  const code = codeOf(error);
  if (NEVER_CONNECTED.has(code)) return 'unreachable';
  if (TIMED_OUT.has(code) || nameOf(error) === 'TimeoutError') return 'timeout';
  return 'reset';
}

function codeOf(error: unknown): string {
  if (typeof error !== 'object' || error === null || !('code' in error)) return '';
  return String(error.code);
}

function nameOf(error: unknown): string {
  return error instanceof Error ? error.name : '';
}
