/** What one VM knows of another. */

import type { RevisionNumber } from '../configuration/configuration';
import type { Incarnation, Vm, VmId } from './vm';

/** `suspect`: did not answer, awaiting confirmation; `left`: said so itself and is gone for good. */
export type MemberStatus = 'alive' | 'suspect' | 'dead' | 'left';

/** What travels about a member. Higher incarnation wins, then version, then the graver status. */
export interface MemberEntry {
  readonly id: VmId;
  readonly incarnation: Incarnation;
  /** Raised by the member alone: to refute a suspicion, or when its own flags change. */
  readonly version: number;
  readonly status: MemberStatus;
  readonly isDraining: boolean;
  readonly isAccepting: boolean;
  /** Highest revision that the member has in force. */
  readonly applied: RevisionNumber;
}

export interface Member extends MemberEntry {
  readonly vm: Vm;
  /** When a datagram came straight from it, this node's clock, milliseconds. */
  readonly lastSeenAtMs: number;
  /** When a probe of this VM's own, direct and by others, last failed, milliseconds. */
  readonly probeFailedAtMs: number;
  /** When its status last changed here, milliseconds. */
  readonly changedAtMs: number;
  /** What the platform's list said of it last; `never` where it has not named it yet. */
  readonly listing: 'never' | 'live' | 'leaving' | 'gone';
}
