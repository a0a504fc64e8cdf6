/** State of the plans side of one node. Everything in it is soft: the rows are the truth. */

import type { Map as ImmutableMap, Set as ImmutableSet } from 'immutable';
import type { Configuration, RevisionNumber } from '../configuration/configuration';
import type { RowVersion } from '../contracts/table';
import type { CallId } from '../decisions/primitive';
import type { AuditHead } from './auditEntry';
import type { Execution } from './execution';
import type { OpenCall } from './openCall';
import type { PlanId } from './plan';
import type { Head } from '../configuration/head';

/** A head row as last seen, with the version to name in a condition. */
export interface Seen<Value> {
  readonly value: Value;
  readonly version: RowVersion;
}

/** A lease of someone else, and since when its row has not changed, on the own monotonic clock. */
export interface ObservedLease {
  readonly version: RowVersion;
  readonly sinceMs: number;
}

export interface PlansOptions {
  /** Names this VM and incarnation as holder of leases. */
  readonly holder: string;
  /** Id of this VM, by which it knows that it is told to leave. */
  readonly vm: string;
}

export interface Plans {
  readonly options: PlansOptions;
  /** The configuration at the highest revision seen, by gossip or by own reads of the table. */
  readonly configuration: Configuration;
  /** The highest revision that every VM has. */
  readonly accepted: RevisionNumber;
  /** Wall clock less the monotonic clock, milliseconds; undefined before it was first heard. */
  readonly wallOffsetMs: number | undefined;
  /** Numbers the calls. */
  readonly calls: number;
  readonly open: ImmutableMap<CallId, OpenCall>;
  readonly head: Seen<Head>;
  readonly auditHead: Seen<AuditHead>;
  /** Plans that this VM carries out. */
  readonly executions: ImmutableMap<PlanId, Execution>;
  readonly observed: ImmutableMap<PlanId, ObservedLease>;
  /** Backend servers that cannot be used, as the fleet side says, and since when, milliseconds. */
  readonly lost: ImmutableMap<string, number>;
  /** Lost engines for which this VM has proposed a repair. */
  readonly proposed: ImmutableSet<string>;
  /** When the next look for running plans is due. */
  readonly scanAtMs: number;
}
