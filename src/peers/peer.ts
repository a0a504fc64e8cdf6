/** The other VMs, as rows of the store name them and as their heartbeats show them. */

import type { GatewayWork } from '../gateway/gatewayWork';

/** What a VM writes about itself when it starts. */
export interface PeerRecord {
  readonly vm: string;
  /** Tells the lives of a VM apart. */
  readonly incarnation: string;
  /** Where callers connect. */
  readonly callerAddress: string;
  /** Where heartbeats go. */
  readonly peerAddress: string;
  /** Where other VMs can follow the tables that it knows. */
  readonly tableAddress: string;
  readonly failureDomain: string;
  /** Processor time that it may use, cores. */
  readonly cores: number;
}

/** What a VM says of itself, several times a second. */
export interface Heartbeat {
  readonly vm: string;
  readonly incarnation: string;
  /** Callers may be sent to it. */
  readonly isAccepting: boolean;
  /** What its own requests take. */
  readonly work: GatewayWork;
  /** Ids and incarnations of backend servers that it found lost. */
  readonly lost: readonly LostServer[];
  /** What a relay passes on of failure domains; empty where the VM speaks only for itself. */
  readonly domains: readonly DomainDigest[];
}

/** A backend server that does not answer, and which of its lives. */
export interface LostServer {
  readonly id: string;
  readonly bornMs: number;
}

/** A VM as a relay has heard it. */
export interface DomainMember {
  readonly vm: string;
  readonly incarnation: string;
  readonly isAccepting: boolean;
  /** Time since its last word, milliseconds. */
  readonly heardAgoMs: number;
}

/** The VMs of one failure domain and the sum of their work. */
export interface DomainDigest {
  readonly failureDomain: string;
  readonly members: readonly DomainMember[];
  readonly work: GatewayWork;
}

/** The last word of a VM. */
export interface HeardPeer {
  readonly incarnation: string;
  readonly isAccepting: boolean;
  /** Monotonic, milliseconds. */
  readonly heardMs: number;
  /** Its work, where it told this VM itself. */
  readonly work?: GatewayWork;
}
