/** The state of membership on one VM. */

import type { Map as ImmutableMap } from 'immutable';
import type { Member } from './member';
import type { Address, VmId } from './vm';

/** A probe that awaits its answer. */
export interface Probe {
  readonly target: VmId;
  readonly startedAtMs: number;
  readonly stage: 'direct' | 'indirect';
}

/** A probe for another VM, whose answer is passed on. */
export interface RelayedProbe {
  readonly requester: Address;
  readonly requesterNonce: number;
  readonly target: VmId;
  readonly startedAtMs: number;
}

/** A member whose change is passed on so many times more. */
export interface Rumor {
  readonly id: VmId;
  readonly sendsLeft: number;
}

/** A VM's id with its hash, worked out once. */
export interface HashedVm {
  readonly id: VmId;
  readonly hash: number;
}

export interface Membership {
  /** All VMs known, without this one. */
  readonly members: ImmutableMap<VmId, Member>;
  /** This VM's own version, raised to refute and to tell of its flags. */
  readonly version: number;
  readonly probes: ImmutableMap<number, Probe>;
  readonly relays: ImmutableMap<number, RelayedProbe>;
  /** Members under suspicion here. */
  readonly suspected: readonly VmId[];
  /** Members whose last change is still passed on, the next ones to send first. */
  readonly rumors: readonly Rumor[];
  /** Members whose full record is still passed on. */
  readonly introductions: readonly Rumor[];
  /** Members of the own region still to be probed in this turn, in random order. */
  readonly probeQueue: readonly VmId[];
  readonly round: number;
  readonly nextRoundAtMs: number;
  readonly nextNonce: number;
  /** Where the refreshing of unchanged members goes on. */
  readonly rosterCursor: number;
  /** When full records were last asked for, milliseconds. */
  readonly recordsRequestedAtMs: number;
  readonly nextListAtMs: number;
  /** When members that are long gone are next looked for, milliseconds. */
  readonly nextPurgeAtMs: number;
  /** Whether a member came, went or changed its flags since `vms-changed` last told. */
  readonly isChanged: boolean;
  /** Live VMs of the own region in the order of their ids, this one included. */
  readonly ring: readonly VmId[];
  /** All members in the order of their ids, told of in turn. */
  readonly roster: readonly VmId[];
  /** Live VMs, this one included. */
  readonly liveVms: number;
  /** Live VMs that take new work and do not drain, this one included. */
  readonly acceptingVms: number;
  /** Hashes of the ids of live VMs, this one included. */
  readonly hashes: readonly HashedVm[];
}
