/** The audit trail: who changed what, when and why, each entry chained to the one before. */

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

/** What an entry says, before it gets its place in the chain. */
export interface AuditBody {
  /** Wall clock, milliseconds. */
  readonly wallMs: number;
  readonly who: string;
  readonly action: AuditAction;
  readonly plan: PlanId;
  /** `workspace/id` of the services that it touches. */
  readonly services: readonly string[];
  readonly what: string;
  readonly why: string;
  readonly revisionBefore: RevisionNumber;
  readonly revisionAfter: RevisionNumber;
  /** Fencing number of the orders, where there are any. */
  readonly fencing?: number;
}

export interface AuditEntry extends AuditBody {
  /** From 1, without gaps. */
  readonly sequence: number;
  /** Hash of the entry before; empty for the first. */
  readonly previous: string;
  /** SHA-256 of this entry without this field. */
  readonly hash: string;
}

/** The last entry's place and hash; the first entry follows `{ sequence: 0, hash: '' }`. */
export interface AuditHead {
  readonly sequence: number;
  readonly hash: string;
}
