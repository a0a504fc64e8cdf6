/** What the plans side waits for: an answer of the table or an engine, or a pause to end. */

import type { RowVersion, RowWrite } from '../contracts/table';
import type { CallId } from '../decisions/primitive';
import type { AuditEntry, AuditHead } from './auditEntry';
import type { LedgerWrite } from './ledgerWrite';
import type { PlanId } from './plan';
import type { Operator } from './planMessage';

/** The operator's ask that a read is for. */
export interface Asker {
  readonly call: CallId;
  readonly operator: Operator;
  readonly wallMs: number;
  readonly id: string;
}

/** Which entries `read-audit` wants. */
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
      /** What it writes, from which the new heads are known once it is committed. */
      readonly rows: readonly RowWrite[];
    }
  /** Reads the two heads anew before a write of unknown result is sent again. */
  | { readonly type: 'refresh-head'; readonly write: LedgerWrite }
  | { readonly type: 'refresh-audit'; readonly write: LedgerWrite }
  /** Reads the plan's row to learn whether a write took effect. */
  | { readonly type: 'settle'; readonly write: LedgerWrite; readonly sentAtMs: number }
  /** A pause before the write is settled. */
  | { readonly type: 'settle-later'; readonly write: LedgerWrite; readonly sentAtMs: number }
  /** Reads the revisions that this VM has not seen, then sends the write again. */
  | { readonly type: 'catch-up'; readonly write: LedgerWrite }
  | {
      readonly type: 'find-plan';
      readonly then: 'show' | 'confirm' | 'cancel';
      readonly plan: PlanId;
      readonly asker: Asker;
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
  | { readonly type: 'take'; readonly taken: TakenLease }
  /** Reads the row of a plan whose lease was taken. */
  | { readonly type: 'find-taken'; readonly taken: TakenLease }
  | {
      readonly type: 'renew';
      readonly plan: PlanId;
      readonly sentAtMs: number;
      readonly marker: string;
    }
  /** Reads the own lease's row, after a write of it with an unknown result or a lost condition. */
  | {
      readonly type: 'find-lease';
      readonly plan: PlanId;
      readonly sentAtMs: number;
      readonly marker: string;
    }
  | { readonly type: 'order'; readonly plan: PlanId; readonly step: StepMark }
  | { readonly type: 'read-engine'; readonly plan: PlanId; readonly step: StepMark }
  /** Writes the row that tells a VM to leave. */
  | { readonly type: 'order-vm'; readonly plan: PlanId; readonly step: StepMark }
  /** Reads whether the VM has taken it. */
  | { readonly type: 'read-vm'; readonly plan: PlanId; readonly step: StepMark }
  /** Writes that this VM leaves. */
  | { readonly type: 'leave'; readonly key: string };

/** Which step a message was sent for, to tell late answers from current ones. */
export type StepMark = string;

/** A lease that this VM takes or has taken. */
export interface TakenLease {
  readonly plan: PlanId;
  readonly sentAtMs: number;
  readonly fencing: number;
  readonly leaseVersion: RowVersion;
  readonly isTakeover: boolean;
}
