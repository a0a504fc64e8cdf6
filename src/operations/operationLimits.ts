/** Limits and times of the operations side, with their units. */

import { BYTES_PER_KIB, BYTES_PER_MIB, MS_PER_HOUR, MS_PER_MINUTE, MS_PER_SECOND } from '../units';

/** Starts every ticket, and no caller's own key; its number is the version of the format. */
export const TICKET_PREFIX = 'ct1.';

/** Time between two ticks by which a pause is noticed, milliseconds. */
export const TICK_MS = 500;

/** A tick that is older than this means that the VM was paused, milliseconds. */
export const PAUSE_MS = 1600;

/** After a pause, time for the fleet side to say how things stand, milliseconds. */
export const DOUBT_MS = MS_PER_SECOND;

/** Operations and look-ups that one VM runs at once; more are refused as not-run. */
export const MAX_RUNNING = 4_000;

/** Callers that may wait for one running operation. */
export const MAX_WAITERS = 32;

/** Results of finished operations that one VM remembers; the oldest go first. */
export const MAX_REMEMBERED = 20_000;

/** Numbers shut by a refusal that one VM remembers, apart from results; the oldest go first. */
export const MAX_SHUT = 20_000;

/** Largest answer body that is remembered, bytes; of a larger one the status is kept. */
export const MAX_REMEMBERED_BODY_BYTES = 64 * BYTES_PER_KIB;

/** Bytes of remembered results, bodies and ids together. */
export const MAX_REMEMBERED_BYTES = 16 * BYTES_PER_MIB;

/** How long a result is remembered unless the limits above are reached, milliseconds. */
export const RETENTION_MS = 15 * MS_PER_MINUTE;

/** Tickets whose numbering one VM follows; the oldest idle ones go first. */
export const MAX_TICKETS = 20_000;

/** Longest operation id or key that is accepted, characters. */
export const MAX_ID_LENGTH = 512;

/** Largest answer body that is recorded in the table, bytes; of a larger one the status is kept. */
export const MAX_RECORDED_BODY_BYTES = 2 * BYTES_PER_KIB;

/** When to come back after a refusal for load or a lack of usable servers, milliseconds. */
export const RETRY_AFTER_MS = MS_PER_SECOND;

/** Retries and hedges earned by each look-up: bounds the added load to this share. */
export const RETRY_RATIO = 0.1;

/** Retries and hedges that may be saved up in one service. */
export const RETRY_BURST = 10;

/** Tries of one look-up, hedges included. */
export const MAX_LOOKUP_TRIES = 3;

/** Share of look-ups that should answer before a hedge is sent. */
export const HEDGE_QUANTILE = 0.95;

/** Shortest wait before a hedge, milliseconds. */
export const MIN_HEDGE_MS = 10;

/** Tries to settle an ambiguous dispatch with the backend server. */
export const MAX_SETTLE_TRIES = 3;

/** Wait before each further try to settle, milliseconds; doubles each time. */
export const SETTLE_DELAY_MS = 200;

/** Time limit of a status look-up, milliseconds. */
export const STATUS_TIMEOUT_MS = 2 * MS_PER_SECOND;

/** Tries of a conditional insert whose reply was lost. */
export const MAX_CLAIM_TRIES = 3;

/** Claims that are to be released at once; past it they stay claimed. */
export const MAX_RELEASES = 1_000;

/** Tries to release one claim before it is left claimed. */
export const MAX_RELEASE_TRIES = 12;

/** Wait before the first retry of a release, milliseconds; doubles up to the longest wait. */
export const RELEASE_DELAY_MS = 250;

/** Longest wait between tries to write to the table, milliseconds. */
export const MAX_TABLE_DELAY_MS = 30 * MS_PER_SECOND;

/** Rows a second that all VMs together write for results. */
export const RECORD_WRITES_PER_SECOND = 100;

/** Shortest time between two batches of results, milliseconds. */
export const MIN_RECORD_INTERVAL_MS = MS_PER_SECOND;

/** Time between two batches of a VM that drains, milliseconds. */
export const DRAIN_RECORD_INTERVAL_MS = 100;

/** Wait before a batch is tried again, milliseconds; doubles up to the longest wait. */
export const RECORD_RETRY_MS = 500;

/** Rows of one batch, deletes apart. */
export const MAX_BATCH_ROWS = 8;

/** Results looked at for one batch. */
export const MAX_BATCH_RESULTS = 4_000;

/** Rows of results that one batch deletes. */
export const MAX_BATCH_DELETES = 4;

/** Size of one row of results, bytes. */
export const MAX_CHUNK_BYTES = 64 * BYTES_PER_KIB;

/** How long a row of results stays in the table while its home lives, milliseconds. */
export const CHUNK_RETENTION_MS = MS_PER_HOUR;

/** Rows read at once from a home that is gone. */
export const SCAN_PAGE_ROWS = 50;

/** Pages read at the most in one pass over the rows of a home. */
export const MAX_SCAN_PAGES = 80;

/** Backend servers whose status look-up is asked for one operation. */
export const MAX_STATUS_SERVERS = 3;

/** Table that holds rows of results under their home. */
export const RESULT_TABLE = 'results';

/** Table that holds one row for each key that a caller chose. */
export const CLAIM_TABLE = 'operations';
