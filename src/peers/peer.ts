/** The other VMs, as rows of the store name them and as their heartbeats show them. */

import type { ServerLoad } from '../gateway/createServerBoard';

/** What a VM writes about itself when it starts. */
export interface PeerRecord {
  readonly vm: string;
  /** Tells the lives of a VM apart. */
  readonly incarnation: string;
  /** Where callers connect. */
  readonly callerAddress: string;
  /** Where heartbeats go. */
  readonly peerAddress: string;
  readonly failureDomain: string;
}

/** What a VM says of itself, several times a second. */
export interface Heartbeat {
  readonly vm: string;
  readonly incarnation: string;
  /** Callers may be sent to it. */
  readonly isAccepting: boolean;
  /** Its work on each backend server. */
  readonly loads: ReadonlyMap<string, ServerLoad>;
  /** Ids and incarnations of backend servers that it found lost. */
  readonly lost: readonly { readonly id: string; readonly bornMs: number }[];
}

/** The last word of a VM. */
export interface HeardPeer {
  readonly incarnation: string;
  readonly isAccepting: boolean;
  readonly heardMs: number;
}
