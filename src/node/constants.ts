/** Limits, intervals and exit codes of the daemon. */

import { BYTES_PER_KIB, BYTES_PER_MIB } from '../units';
import type { LimitSettings } from './settings';

/** Highest TCP or UDP port. */
export const MAX_PORT = 65_535;

/** Exit code for an error in the command line or the settings. */
export const EXIT_USAGE = 2;

/** Exit code when a second signal interrupted work in progress. */
export const EXIT_INTERRUPTED = 3;

/** Shortest fleet key, bytes; HMAC-SHA-256 gains nothing below this. */
export const MIN_KEY_BYTES = 32;

/** Limits that apply when the settings leave them out. */
export const DEFAULT_LIMITS: LimitSettings = {
  bodyBytes: BYTES_PER_MIB,
  headerBytes: 16 * BYTES_PER_KIB,
  promptTokens: 32_768,
  answerTokens: 8192,
  callerBufferBytes: 256 * BYTES_PER_KIB,
  callerIdleMs: 30_000,
  concurrentRequests: 4096,
};

/** Time between two `ticked` events for the plans component, milliseconds. */
export const PLAN_TICK_INTERVAL_MS = 500;

/** Time between two counts of the work in progress while a VM drains, milliseconds. */
export const WORK_COUNT_INTERVAL_MS = 100;

/** Delay beyond its due time from which a timer counts as overdue after a process pause, milliseconds. */
export const OVERDUE_THRESHOLD_MS = 250;

/** Time to read input that arrived during a pause before an overdue timer fires, milliseconds. */
export const OVERDUE_GRACE_MS = 100;

/** Most requests whose history is kept for operators. */
export const MAX_REQUEST_HISTORIES = 2000;

/** Most entries in the history of one request. */
export const MAX_HISTORY_ENTRIES = 24;
