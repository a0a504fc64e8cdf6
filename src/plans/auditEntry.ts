/** The audit trail: who changed what, when and why. Each entry is chained to the previous one. */

import type { RevisionNumber } from '../configuration/configuration';
import type { PlanId } from './plan';

export type AuditAction =
  | 'planned'
  | 'confirmed'
  | 'cancelled'
  | 'committed'
  | 'ordering'
  | 'ordered'
  | 'drained'
  | 'undoing'
  | 'finished'
  | 'denied'
  | 'proposed-repair';

/** Contents of an entry before it is added to the chain. */
export interface AuditBody {
  /** Wall clock, milliseconds. */
  readonly wallMs: number;
  readonly who: string;
  readonly action: AuditAction;
  readonly plan: PlanId;
  /** `workspace/id` of the affected services. */
  readonly services: readonly string[];
  readonly what: string;
  readonly why: string;
  readonly revisionBefore: RevisionNumber;
  readonly revisionAfter: RevisionNumber;
  /** Fencing number of the orders, if there are any. */
  readonly fencing?: number;
}

export interface AuditEntry extends AuditBody {
  /** From 1, without gaps. */
  readonly sequence: number;
  /** Hash of the previous entry; empty for the first one. */
  readonly previous: string;
  /** SHA-256 of this entry without this field. */
  readonly hash: string;
}

/**
 * Sequence number and hash of the last entry; before the first entry, `{ sequence: 0, hash: '' }`.
 */
export interface AuditHead {
  readonly sequence: number;
  readonly hash: string;
}
