/** A plan that this VM executes under a lease. */

import type { RowVersion } from '../contracts/table';
import type { PlanRecord } from './planRecord';

export interface Execution {
  readonly record: PlanRecord;
  readonly planVersion: RowVersion;
  readonly leaseVersion: RowVersion;
  readonly fencing: number;
  /** End of the lease on the local monotonic clock, milliseconds. */
  readonly leaseUntilMs: number;
  /** Whether a write of the rows is open; at most one is open at a time. */
  readonly isWriting: boolean;
  /** Whether a message to an engine or a call for a VM's row awaits its reply; at most one does. */
  readonly isAwaitingReply: boolean;
  /** Whether an earlier holder may have sent an order; then the engine is read first. */
  readonly needsRead: boolean;
  /** Failed tries of the order of this step; for an order to a VM, 1 once its row is written. */
  readonly tries: number;
  /** Until then an unanswered order may still reach its engine, milliseconds. */
  readonly orderPendingUntilMs: number;
  /** No message is sent before this time, milliseconds. */
  readonly pauseUntilMs: number;
  /** When this VM began the step, milliseconds. */
  readonly stepSinceMs: number;
  /** Since when the drained backend server has had no work; undefined while it has some. */
  readonly idleSinceMs: number | undefined;
}
