/** Peers: the VMs of the fleet, as described by their rows in the store and by their heartbeats. */

import type { GatewayWork } from '../gateway/gatewayWork';

/** The row that a VM writes about itself when it starts. */
export interface PeerRecord {
  readonly vm: string;
  /** Distinguishes one run of the VM from the next. */
  readonly incarnation: string;
  /** Address for callers. */
  readonly callerAddress: string;
  /** Address for heartbeats. */
  readonly peerAddress: string;
  /** Address at which other VMs can follow its copies of tables. */
  readonly tableAddress: string;
  readonly failureDomain: string;
  /** Processor time that the VM may use, in cores. */
  readonly cores: number;
}

/** A VM's report about itself, sent several times a second. */
export interface Heartbeat {
  readonly vm: string;
  readonly incarnation: string;
  /** Whether callers may be directed to the VM. */
  readonly isAccepting: boolean;
  /** The work of its own requests. */
  readonly work: GatewayWork;
  /** Backend servers that the VM suspects to have failed. */
  readonly lost: readonly SuspectedServer[];
  /** Digests that a relay forwards; empty if the VM reports only on itself. */
  readonly domains: readonly DomainDigest[];
}

/** An incarnation of a backend server that does not answer. */
export interface SuspectedServer {
  readonly id: string;
  /** Identifies the incarnation by its start time. */
  readonly bornMs: number;
}

/** A VM's last report, as a relay forwards it. */
export interface DomainMember {
  readonly vm: string;
  readonly incarnation: string;
  readonly isAccepting: boolean;
  /** Time since its last heartbeat, milliseconds. */
  readonly heardAgoMs: number;
}

/** The VMs of one failure domain and the sum of their work. */
export interface DomainDigest {
  readonly failureDomain: string;
  readonly members: readonly DomainMember[];
  readonly work: GatewayWork;
}

/** The last known status of a VM, received directly or through a relay. */
export interface PeerStatus {
  readonly incarnation: string;
  readonly isAccepting: boolean;
  /** Time of the heartbeat; monotonic, milliseconds. */
  readonly heardMs: number;
  /** Its work, if the heartbeat came directly from that VM. */
  readonly work?: GatewayWork;
}
