/** Membership state of one VM. */

import type { Map as ImmutableMap } from 'immutable';
import type { Member } from './member';
import type { Address, VmId } from './vm';

/** A probe that awaits its answer. */
export interface Probe {
  readonly target: VmId;
  readonly startedAtMs: number;
  readonly stage: 'direct' | 'indirect';
}

/** A probe on behalf of another VM, to which the answer is relayed. */
export interface RelayedProbe {
  readonly requester: Address;
  readonly requesterNonce: number;
  readonly target: VmId;
  readonly startedAtMs: number;
}

/** A member whose change is still to be sent. */
export interface Rumor {
  readonly id: VmId;
  readonly sendsLeft: number;
}

/** A VM's id with its cached hash. */
export interface HashedVm {
  readonly id: VmId;
  readonly hash: number;
}

export interface Membership {
  /** All known VMs except this one. */
  readonly members: ImmutableMap<VmId, Member>;
  /** This VM's own version, raised to refute a suspicion and when its flags change. */
  readonly version: number;
  readonly probes: ImmutableMap<number, Probe>;
  readonly relays: ImmutableMap<number, RelayedProbe>;
  /** Members that this VM suspects. */
  readonly suspected: readonly VmId[];
  /** Members whose last change is still to be sent, in order of sending. */
  readonly rumors: readonly Rumor[];
  /** Members whose full record is still to be sent. */
  readonly introductions: readonly Rumor[];
  /** Members of the own region still to be probed in this cycle, in random order. */
  readonly probeQueue: readonly VmId[];
  readonly round: number;
  readonly nextRoundAtMs: number;
  readonly nextNonce: number;
  /** Index in `roster` of the next unchanged member to send. */
  readonly rosterCursor: number;
  /** When full records were last requested, milliseconds. */
  readonly recordsRequestedAtMs: number;
  readonly nextListAtMs: number;
  /** When old members are next purged, milliseconds. */
  readonly nextPurgeAtMs: number;
  /** Whether members were added, removed or changed since the last `vms-changed` effect. */
  readonly isChanged: boolean;
  /** Live VMs of the own region sorted by id, including this one. */
  readonly ring: readonly VmId[];
  /** All members sorted by id; their entries are sent in rotation. */
  readonly roster: readonly VmId[];
  /** Number of live VMs, including this one. */
  readonly liveVms: number;
  /** Number of live VMs that accept new requests and do not drain, including this one. */
  readonly acceptingVms: number;
  /** Hashes of the ids of live VMs, including this one. */
  readonly hashes: readonly HashedVm[];
}
