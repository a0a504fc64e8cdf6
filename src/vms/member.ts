/** State that one VM keeps about another. */

import type { RevisionNumber } from '../configuration/configuration';
import type { Incarnation, Vm, VmId } from './vm';

/** `suspect`: did not answer a probe, not yet confirmed; `left`: announced its own final departure. */
export type MemberStatus = 'alive' | 'suspect' | 'dead' | 'left';

/** Gossiped state of a member. The higher incarnation wins, then version, then the more severe status. */
export interface MemberEntry {
  readonly id: VmId;
  readonly incarnation: Incarnation;
  /** Raised only by the member itself: to refute a suspicion, or when its own flags change. */
  readonly version: number;
  readonly status: MemberStatus;
  readonly isDraining: boolean;
  readonly isAccepting: boolean;
  /** Highest revision that the member has applied. */
  readonly applied: RevisionNumber;
}

export interface Member extends MemberEntry {
  readonly vm: Vm;
  /** When the member itself last sent a datagram to this VM, this node's clock, milliseconds. */
  readonly lastSeenAtMs: number;
  /** When a probe by this VM, both direct and indirect, last failed, milliseconds. */
  readonly probeFailedAtMs: number;
  /** When its status last changed on this VM, milliseconds. */
  readonly changedAtMs: number;
  /** State in the platform's list; `never` if not listed yet, `gone` if no longer listed. */
  readonly listing: 'never' | 'live' | 'leaving' | 'gone';
}
