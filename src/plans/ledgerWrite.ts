/**
 * A write of a plan's row. The same transaction may also write entries of the audit trail, a
 * revision of the configuration, the lease and the claims; it takes effect as a whole or not at
 * all.
 */

import type { Change, RevisionNumber } from '../configuration/configuration';
import type { Row, RowVersion } from '../contracts/table';
import type { CallId } from '../decisions/primitive';
import type { AuditBody } from './auditEntry';
import type { PlanRecord } from './planRecord';
import type { Lease } from './planRows';
import type { Precondition } from './plan';
import type { Operator } from './planMessage';

/** The purpose of the write, which selects the handler of its result. */
export type LedgerPurpose =
  | {
      readonly type: 'store-plan';
      readonly call: CallId;
      /** Preconditions that failed, if this plan replaces one that could not be confirmed. */
      readonly failed: readonly string[];
    }
  | {
      readonly type: 'confirm-plan';
      readonly call: CallId;
      readonly operator: Operator;
      readonly wallMs: number;
    }
  | {
      readonly type: 'cancel-plan';
      readonly call: CallId;
      readonly operator: Operator;
      readonly wallMs: number;
    }
  | { readonly type: 'advance' }
  | { readonly type: 'propose-repair' };

/** A revision to commit with the write. */
export interface LedgerCommit {
  readonly operator: string;
  readonly reason: string;
  readonly changes: readonly Change[];
  readonly preconditions: readonly Precondition[];
}

/** The write of the lease's row; `expected` is the version that the row must have. */
export interface LedgerLease {
  readonly expected: RowVersion;
  readonly value: Lease | undefined;
}

/** Claims that the write requires to be free (`require`), acquires (`take`) or releases. */
export interface LedgerClaims {
  readonly action: 'require' | 'take' | 'release';
  readonly keys: readonly string[];
}

export interface LedgerWrite {
  /** Unique id, stored as a marker in the plan's row and the lease to identify the write. */
  readonly id: string;
  readonly record: PlanRecord;
  /** Version that the plan's row must have; 0 for a new plan. */
  readonly planVersion: RowVersion;
  readonly lease?: LedgerLease;
  readonly claims?: LedgerClaims;
  readonly audit: readonly AuditBody[];
  readonly commit?: LedgerCommit;
  readonly purpose: LedgerPurpose;
  /** Times that it was sent again after losing a race for a head row. */
  readonly headRetries: number;
  /** Whether an attempt to send it had an unknown result and may still take effect. */
  readonly isAmbiguous: boolean;
  readonly startedAtMs: number;
}

/**
 * The result of a write. Every type except `committed` and `unknown` means that nothing was
 * written.
 */
export type LedgerResult =
  | {
      readonly type: 'committed';
      readonly record: PlanRecord;
      readonly planVersion: RowVersion;
      readonly leaseVersion: RowVersion;
      /** The revision committed with it, 0 if there was none. */
      readonly revision: RevisionNumber;
      /** The earliest time at which the write that took effect was sent. */
      readonly sentAtMs: number;
    }
  | { readonly type: 'plan-changed'; readonly row: Row | undefined }
  | { readonly type: 'lease-lost' }
  | { readonly type: 'claimed'; readonly rows: readonly Row[] }
  | { readonly type: 'preconditions-failed'; readonly failed: readonly string[] }
  | { readonly type: 'unavailable'; readonly detail: string }
  | { readonly type: 'unknown'; readonly detail: string };
