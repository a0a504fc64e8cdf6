/** Limits and times of the operations component, with their units. */

import { BYTES_PER_KIB, BYTES_PER_MIB, MS_PER_HOUR, MS_PER_MINUTE, MS_PER_SECOND } from '../units';

/** Prefix that distinguishes tickets from keys that callers choose; `1` is the version of the format. */
export const TICKET_PREFIX = 'ct1.';

/** Interval of the tick that detects pauses, milliseconds. */
export const TICK_MS = 500;

/** Age of the last tick above which the VM counts as having been paused, milliseconds. */
export const PAUSE_MS = 1600;

/** Time after a pause for the fleet component to report server health and availability, milliseconds. */
export const RECOVERY_MS = MS_PER_SECOND;

/** Operations and look-ups that one VM runs at once; further ones are refused as not-run. */
export const MAX_RUNNING = 4_000;

/** Calls that may wait for one running operation. */
export const MAX_WAITERS = 32;

/** Results of finished operations that one VM retains; the oldest are evicted first. */
export const MAX_RETAINED = 20_000;

/** Tombstones of refused numbers that one VM retains besides results; the oldest are evicted first. */
export const MAX_TOMBSTONES = 20_000;

/** Largest answer body that is retained, bytes; of a larger answer only the status is kept. */
export const MAX_RETAINED_BODY_BYTES = 64 * BYTES_PER_KIB;

/** Bytes of retained results, bodies and ids together. */
export const MAX_RETAINED_BYTES = 16 * BYTES_PER_MIB;

/** How long a result is retained unless the limits above are reached, milliseconds. */
export const RETENTION_MS = 15 * MS_PER_MINUTE;

/** Idle tickets whose numbering one VM tracks; those idle the longest are evicted first. */
export const MAX_TICKETS = 20_000;

/** Longest operation id or key that is accepted, characters. */
export const MAX_ID_LENGTH = 512;

/** Largest answer body that is recorded in the table, bytes; of a larger answer only the status is kept. */
export const MAX_RECORDED_BODY_BYTES = 2 * BYTES_PER_KIB;

/** Suggested delay before a retry after a refusal for load or a lack of usable servers, milliseconds. */
export const RETRY_AFTER_MS = MS_PER_SECOND;

/** Retries and hedges that each look-up adds to the budget; bounds the added load to this share. */
export const RETRY_RATIO = 0.1;

/** Largest budget of retries and hedges that one service accumulates. */
export const RETRY_BURST = 10;

/** Tries of one look-up, hedges included. */
export const MAX_LOOKUP_TRIES = 3;

/** Share of look-ups that should be answered before a hedge is sent. */
export const HEDGE_QUANTILE = 0.95;

/** Shortest wait before a hedge, milliseconds. */
export const MIN_HEDGE_MS = 10;

/** Tries to resolve an ambiguous dispatch with the backend server. */
export const MAX_RESOLVE_TRIES = 3;

/** Wait before the first try to resolve an ambiguous dispatch, milliseconds; doubles each time. */
export const RESOLVE_DELAY_MS = 200;

/** Time limit of a status look-up, milliseconds. */
export const STATUS_TIMEOUT_MS = 2 * MS_PER_SECOND;

/** Tries of a conditional insert whose reply was lost. */
export const MAX_CLAIM_TRIES = 3;

/** Claims that are in release at the same time; further ones stay claimed. */
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

/** Queued results that are considered for one batch. */
export const MAX_BATCH_RESULTS = 4_000;

/** Rows of results that one batch deletes. */
export const MAX_BATCH_DELETES = 4;

/** Size of one row of results, bytes. */
export const MAX_CHUNK_BYTES = 64 * BYTES_PER_KIB;

/** How long a row of results stays in the table while the VM that wrote it runs, milliseconds. */
export const CHUNK_RETENTION_MS = MS_PER_HOUR;

/** Rows of recorded results that one scan page reads. */
export const SCAN_PAGE_ROWS = 50;

/** Most pages that one pass over the recorded results of a VM reads. */
export const MAX_SCAN_PAGES = 80;

/** Backend servers whose status look-up is queried for one operation. */
export const MAX_STATUS_SERVERS = 3;

/** Table that holds rows of results, keyed by the VM that owned the operations. */
export const RESULT_TABLE = 'results';

/** Table that holds one claim row for each key that a caller chose. */
export const CLAIM_TABLE = 'operations';
