/** Named figures of the daemon's shell. */

import { BYTES_PER_KIB, BYTES_PER_MIB } from '../units';
import type { LimitSettings } from './settings';

/** Highest TCP or UDP port. */
export const MAX_PORT = 65_535;

/** Exit code for a mistake in the command line or the settings. */
export const EXIT_USAGE = 2;

/** Exit code where a second signal cut work in progress. */
export const EXIT_CUT = 3;

/** Shortest fleet key, bytes; HMAC-SHA-256 gains nothing below this. */
export const MIN_KEY_BYTES = 32;

/** Limits that hold where the settings name none. */
export const DEFAULT_LIMITS: LimitSettings = {
  bodyBytes: BYTES_PER_MIB,
  headerBytes: 16 * BYTES_PER_KIB,
  promptTokens: 32_768,
  answerTokens: 8192,
  callerBufferBytes: 256 * BYTES_PER_KIB,
  callerIdleMs: 30_000,
  concurrentRequests: 4096,
};

/** Time between two `ticked` events for the plans side, milliseconds. */
export const PLAN_TICK_MS = 500;

/** Time between two counts of the work in progress while a VM drains, milliseconds. */
export const WORK_COUNT_MS = 100;

/** Lateness from which a timer counts as held up by a pause of the process, milliseconds. */
export const OVERDUE_MS = 250;

/** Time for input that waited out a pause to be read before an overdue timer fires, milliseconds. */
export const OVERDUE_GRACE_MS = 100;

/** Requests whose course is kept for operators. */
export const MAX_JOURNALS = 2000;

/** Entries kept of one request. */
export const MAX_JOURNAL_ENTRIES = 24;
