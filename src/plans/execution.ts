/** A plan that this VM carries out under a lease. */

import type { RowVersion } from '../contracts/table';
import type { PlanRecord } from './planRecord';

export interface Execution {
  readonly record: PlanRecord;
  readonly planVersion: RowVersion;
  readonly leaseVersion: RowVersion;
  readonly fencing: number;
  /** The lease holds until then, on the own monotonic clock, milliseconds. */
  readonly leaseUntilMs: number;
  /** What is open: a write of the rows, or a message to an engine. Only one of each at a time. */
  readonly isWriting: boolean;
  readonly isAsking: boolean;
  /** Whether another holder may have ordered before; then the engine is read first. */
  readonly needsRead: boolean;
  /** Failed tries of the order of this step. */
  readonly tries: number;
  /** Until then an order without an answer may still arrive at its engine, milliseconds. */
  readonly quietUntilMs: number;
  /** No message goes out before, milliseconds. */
  readonly pauseUntilMs: number;
  /** When the step began here. */
  readonly stepSinceMs: number;
  /** Since when the drained backend server has had no work; undefined while it has some. */
  readonly idleSinceMs: number | undefined;
}
