/**
 * Open calls of the plans component, which await a reply of the table or an engine, or the end of a
 * pause.
 */

import type { RowVersion, RowWrite } from '../contracts/table';
import type { CallId } from '../decisions/primitive';
import type { AuditEntry, AuditHead } from './auditEntry';
import type { LedgerWrite } from './ledgerWrite';
import type { PlanId } from './plan';
import type { Operator } from './planMessage';

/** The operator's request for which a plan is read. */
export interface RequestContext {
  readonly call: CallId;
  readonly operator: Operator;
  readonly wallMs: number;
  readonly id: string;
}

/** Selection of the entries for `read-audit`. */
export interface AuditFilter {
  readonly since: number;
  readonly service: string;
  readonly who: string;
  readonly limit: number;
  readonly verify: boolean;
}

export type OpenCall =
  /** A transaction; answered by `transacted`. */
  | {
      readonly type: 'write';
      readonly write: LedgerWrite;
      readonly sentAtMs: number;
      /** The rows that it writes, which contain the new heads once it is committed. */
      readonly rows: readonly RowWrite[];
    }
  /** Reads the two heads again before a write of unknown result is sent again. */
  | { readonly type: 'refresh-head'; readonly write: LedgerWrite }
  | { readonly type: 'refresh-audit'; readonly write: LedgerWrite }
  /** Reads the plan's row to find out whether a write took effect. */
  | { readonly type: 'settle'; readonly write: LedgerWrite; readonly sentAtMs: number }
  /** A pause before the plan's row is read again. */
  | { readonly type: 'settle-later'; readonly write: LedgerWrite; readonly sentAtMs: number }
  /** Reads the revisions that this VM has not seen, then sends the write again. */
  | { readonly type: 'catch-up'; readonly write: LedgerWrite }
  | {
      readonly type: 'find-plan';
      readonly then: 'show' | 'confirm' | 'cancel';
      readonly plan: PlanId;
      readonly context: RequestContext;
    }
  | { readonly type: 'list-plans'; readonly call: CallId }
  | {
      readonly type: 'read-audit';
      readonly call: CallId;
      readonly filter: AuditFilter;
      readonly head: AuditHead;
      readonly found: readonly AuditEntry[];
      readonly pages: number;
    }
  | { readonly type: 'scan' }
  | { readonly type: 'take'; readonly taken: ClaimedLease }
  /** Reads the row of a plan whose lease was claimed. */
  | { readonly type: 'find-taken'; readonly taken: ClaimedLease }
  | {
      readonly type: 'renew';
      readonly plan: PlanId;
      readonly sentAtMs: number;
      readonly marker: string;
    }
  /**
   * Reads the row of this VM's lease after a write with an unknown result or a failed condition.
   */
  | {
      readonly type: 'find-lease';
      readonly plan: PlanId;
      readonly sentAtMs: number;
      readonly marker: string;
    }
  | { readonly type: 'order'; readonly plan: PlanId; readonly step: StepMark }
  | { readonly type: 'read-engine'; readonly plan: PlanId; readonly step: StepMark }
  /** Writes the row that orders a VM to leave. */
  | { readonly type: 'order-vm'; readonly plan: PlanId; readonly step: StepMark }
  /** Reads whether the VM has acknowledged the order. */
  | { readonly type: 'read-vm'; readonly plan: PlanId; readonly step: StepMark }
  /** Acknowledges in the row that this VM leaves. */
  | { readonly type: 'leave'; readonly key: string };

/** The step for which a message was sent; identifies late replies. */
export type StepMark = string;

/** A lease that this VM claims or has claimed. */
export interface ClaimedLease {
  readonly plan: PlanId;
  readonly sentAtMs: number;
  readonly fencing: number;
  readonly leaseVersion: RowVersion;
  readonly isTakeover: boolean;
}
