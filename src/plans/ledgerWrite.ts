/**
 * One write to the plans' rows: the plan's own row, always, and with it in the same transaction the
 * entries of the audit trail, a revision of the configuration, the lease and the claims. All or
 * nothing of it takes effect.
 */

import type { Change, RevisionNumber } from '../configuration/configuration';
import type { Row, RowVersion } from '../contracts/table';
import type { CallId } from '../decisions/primitive';
import type { AuditBody } from './auditEntry';
import type { PlanRecord } from './planRecord';
import type { Lease } from './planRows';
import type { Precondition } from './plan';
import type { Operator } from './planMessage';

/** What the write is for; decides who goes on with its result. */
export type LedgerPurpose =
  | {
      readonly type: 'store-plan';
      readonly call: CallId;
      /** What had changed, where this plan stands in for one that could not be confirmed. */
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

/** What happens to the lease's row; `expected` is the version that it must have. */
export interface LedgerLease {
  readonly expected: RowVersion;
  readonly value: Lease | undefined;
}

/** Which claims the write asks to be free, takes, or gives back. */
export interface LedgerClaims {
  readonly action: 'require' | 'take' | 'release';
  readonly keys: readonly string[];
}

export interface LedgerWrite {
  /** Unique id; stands as the marker in every row that tells whose write it was. */
  readonly id: string;
  readonly record: PlanRecord;
  /** Version that the plan's row must have; 0 for a new plan. */
  readonly planVersion: RowVersion;
  readonly lease?: LedgerLease;
  readonly claims?: LedgerClaims;
  readonly audit: readonly AuditBody[];
  readonly commit?: LedgerCommit;
  readonly purpose: LedgerPurpose;
  /** Times that it was sent again. */
  readonly races: number;
  /** Whether a sending of it had an unknown result, so that it may still take effect. */
  readonly isDoubtful: boolean;
  readonly startedAtMs: number;
}

/** How a write ended. Everything but `committed` and `unknown` says that nothing was written. */
export type LedgerResult =
  | {
      readonly type: 'committed';
      readonly record: PlanRecord;
      readonly planVersion: RowVersion;
      readonly leaseVersion: RowVersion;
      /** The revision committed with it, 0 where there was none. */
      readonly revision: RevisionNumber;
      /** When the write that took effect was sent at the earliest. */
      readonly sentAtMs: number;
    }
  | { readonly type: 'plan-changed'; readonly row: Row | undefined }
  | { readonly type: 'lease-lost' }
  | { readonly type: 'claimed'; readonly rows: readonly Row[] }
  | { readonly type: 'preconditions-failed'; readonly failed: readonly string[] }
  | { readonly type: 'unavailable'; readonly detail: string }
  | { readonly type: 'unknown'; readonly detail: string };
