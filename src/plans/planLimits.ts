/** Limits and times of the plans component. */

import { BYTES_PER_MIB, MS_PER_SECOND } from '../units';

/** Calls to the table and to engines that may be open at once; further requests are refused. */
export const MAX_OPEN_CALLS = 1000;

/** Time within which an operator gets an answer, milliseconds. */
export const ANSWER_DEADLINE_MS = 20 * MS_PER_SECOND;

/** Pause before the result of an ambiguous write is looked up again, milliseconds. */
export const RESOLVE_RETRY_MS = 500;

/** Times one write is sent again after losing a race for a head row. */
export const MAX_HEAD_RETRIES = 40;

/** Plans in one answer to `list-plans`. */
export const MAX_LISTED_PLANS = 100;

/** Ids of writes that a plan's row keeps, to resolve writes whose reply was lost. */
export const MAX_MARKERS = 16;

/** Revisions fetched in one read when this VM lags behind the head. */
export const MAX_CATCH_UP_REVISIONS = 200;

/** Audit entries fetched in one read. */
export const AUDIT_PAGE_ENTRIES = 500;

/** Pages of the audit trail read for one answer. */
export const MAX_AUDIT_PAGES = 40;

/** Duration of a lease after the write that claimed or renewed it was sent, milliseconds. */
export const LEASE_MS = 10 * MS_PER_SECOND;

/** Age at which the holder renews its lease, milliseconds. */
export const RENEW_AFTER_MS = 3 * MS_PER_SECOND;

/** Remaining duration that a lease needs for an order to be sent under it, milliseconds. */
export const LEASE_MARGIN_MS = 2 * MS_PER_SECOND;

/** Validity of an order after it was sent, milliseconds. */
export const ORDER_EXPIRY_MS = 5 * MS_PER_SECOND;

/** Largest difference between the wall clocks of a VM and a backend server, milliseconds. */
export const MAX_CLOCK_SKEW_MS = 2 * MS_PER_SECOND;

/** Time for which a successor must see a lease unchanged before it claims it, milliseconds. */
export const TAKEOVER_WAIT_MS = LEASE_MS + ORDER_EXPIRY_MS + MAX_CLOCK_SKEW_MS;

/** Minimum time between scans for running plans that no VM executes, milliseconds. */
export const SCAN_INTERVAL_MS = 5 * MS_PER_SECOND;

/** Rows of running plans that one scan reads. */
export const MAX_RUNNING_PLANS = 200;

/** Pause before a step that did not succeed is tried again, milliseconds. */
export const STEP_RETRY_MS = 1 * MS_PER_SECOND;

/** Failed tries of one order before the plan is undone. */
export const MAX_ORDER_TRIES = 30;

/** Interval between checks of a draining backend server, milliseconds. */
export const DRAIN_POLL_MS = 1 * MS_PER_SECOND;

/**
 * Largest delay of a load report; an engine must be idle for as long to count as drained,
 * milliseconds.
 */
export const MAX_REPORT_LAG_MS = 3 * MS_PER_SECOND;

/** Time for which a suspected server is retried before it counts as drained, milliseconds. */
export const UNREACHABLE_DRAIN_MS = 20 * MS_PER_SECOND;

/** Time a drain may take before the plan is undone, milliseconds. */
export const MAX_DRAIN_MS = 900 * MS_PER_SECOND;

/** Time for which an engine is suspected before a repair is proposed, milliseconds. */
export const REPAIR_AFTER_MS = 10 * MS_PER_SECOND;

/** Rate at which the weight store serves all engines together, bytes a second. */
export const WEIGHT_STORE_BYTES_PER_SECOND = 1000 * BYTES_PER_MIB;
