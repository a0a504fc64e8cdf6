/** Limits and times of the plans side. */

import { BYTES_PER_MIB, MS_PER_SECOND } from '../units';

/** Calls to the table and to engines that may be open at once; asks beyond it are turned away. */
export const MAX_OPEN_CALLS = 1000;

/** Time within which an operator gets an answer, milliseconds. */
export const ANSWER_DEADLINE_MS = 20 * MS_PER_SECOND;

/** Pause before a write with an unknown result is looked up again, milliseconds. */
export const SETTLE_RETRY_MS = 500;

/** Times one write is sent again after losing a race for a head row. */
export const MAX_HEAD_RACES = 40;

/** Plans in one answer to `list-plans`. */
export const MAX_LISTED_PLANS = 100;

/** Writes of a plan's row that it remembers, to settle the ones whose reply was lost. */
export const MAX_MARKERS = 16;

/** Revisions fetched in one read when this VM lags behind the head. */
export const MAX_CATCH_UP_REVISIONS = 200;

/** Audit entries fetched in one read. */
export const AUDIT_PAGE = 500;

/** Pages of the audit trail read for one answer. */
export const MAX_AUDIT_PAGES = 40;

/** How long a lease holds after the write that took or renewed it was sent, milliseconds. */
export const LEASE_MS = 10 * MS_PER_SECOND;

/** Age at which the holder renews its lease, milliseconds. */
export const RENEW_AFTER_MS = 3 * MS_PER_SECOND;

/** What must be left of a lease for an order to go out under it, milliseconds. */
export const LEASE_MARGIN_MS = 2 * MS_PER_SECOND;

/** How long an order stays good after it was sent, milliseconds. */
export const ORDER_EXPIRY_MS = 5 * MS_PER_SECOND;

/** Largest difference between the wall clocks of a VM and a backend server, milliseconds. */
export const CLOCK_SKEW_MS = 2 * MS_PER_SECOND;

/** How long a successor watches an unchanged lease before it takes it, milliseconds. */
export const TAKEOVER_WAIT_MS = LEASE_MS + ORDER_EXPIRY_MS + CLOCK_SKEW_MS;

/** Time between two looks for running plans that nobody carries out, milliseconds. */
export const SCAN_INTERVAL_MS = 5 * MS_PER_SECOND;

/** Running plans that one VM sees at once. */
export const MAX_RUNNING_PLANS = 200;

/** Pause before a step that did not succeed is tried again, milliseconds. */
export const STEP_RETRY_MS = 1 * MS_PER_SECOND;

/** Failed tries of one order before the plan is undone. */
export const MAX_ORDER_TRIES = 30;

/** Time between two looks at a backend server that drains, milliseconds. */
export const DRAIN_POLL_MS = 1 * MS_PER_SECOND;

/** How late a load report may be; a drained engine has been idle for longer, milliseconds. */
export const REPORT_LAG_MS = 3 * MS_PER_SECOND;

/** How long a lost backend server is asked in vain before it counts as drained, milliseconds. */
export const LOST_DRAIN_MS = 20 * MS_PER_SECOND;

/** Time a drain may take before the plan is undone, milliseconds. */
export const DRAIN_LIMIT_MS = 900 * MS_PER_SECOND;

/** How long an engine is lost before a repair is proposed, milliseconds. */
export const REPAIR_AFTER_MS = 10 * MS_PER_SECOND;

/** Rate at which the weight store serves all engines together, bytes a second. */
export const WEIGHT_STORE_BYTES_PER_SECOND = 1000 * BYTES_PER_MIB;
