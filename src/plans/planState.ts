/**
 * State of the plans component of one node. All of it is soft state; the table's rows are
 * authoritative.
 */

import type { Map as ImmutableMap, Set as ImmutableSet } from 'immutable';
import type { Configuration, RevisionNumber } from '../configuration/configuration';
import type { RowVersion } from '../contracts/table';
import type { CallId } from '../decisions/primitive';
import type { AuditHead } from './auditEntry';
import type { Execution } from './execution';
import type { OpenCall } from './openCall';
import type { PlanId } from './plan';
import type { Head } from '../configuration/head';

/** Value of a head row as last read, with its version for use in a condition. */
export interface VersionedValue<Value> {
  readonly value: Value;
  readonly version: RowVersion;
}

/**
 * The version of a lease's row, and since when the row has not changed, on the local monotonic
 * clock.
 */
export interface ObservedLease {
  readonly version: RowVersion;
  readonly sinceMs: number;
}

export interface PlansOptions {
  /** Names this VM and incarnation as holder of leases. */
  readonly holder: string;
  /** Id of this VM, which identifies the orders to leave. */
  readonly vm: string;
}

export interface Plans {
  readonly options: PlansOptions;
  /**
   * The configuration at the highest known revision, from gossip or from this VM's own reads of the
   * table.
   */
  readonly configuration: Configuration;
  /** The highest revision that every VM has. */
  readonly accepted: RevisionNumber;
  /**
   * Wall clock minus the monotonic clock, milliseconds; undefined before the first wall clock time.
   */
  readonly wallOffsetMs: number | undefined;
  /** Number of calls so far, from which call ids derive. */
  readonly calls: number;
  readonly open: ImmutableMap<CallId, OpenCall>;
  readonly head: VersionedValue<Head>;
  readonly auditHead: VersionedValue<AuditHead>;
  /** Plans that this VM executes. */
  readonly executions: ImmutableMap<PlanId, Execution>;
  readonly observed: ImmutableMap<PlanId, ObservedLease>;
  /** Backend servers that the fleet component reports as unusable, and since when, milliseconds. */
  readonly lost: ImmutableMap<string, number>;
  /** Suspected engines for which this VM has proposed a repair. */
  readonly proposed: ImmutableSet<string>;
  /** When the next scan for running plans is due. */
  readonly scanAtMs: number;
}
