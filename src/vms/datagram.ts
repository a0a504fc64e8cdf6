/**
 * The envelope of datagrams between VMs: who sent it, in which life, as the how-manieth, and a code
 * that only holders of the shared key can make.
 *
 * Layout, numbers big-endian: version (1 byte), hash of the fleet's name (4), incarnation (6),
 * sequence (6), length of the sender's id (1), the id, the payload, and the first 16 bytes of
 * HMAC-SHA256 over the fleet's name, a zero byte and all that stands before.
 */

import type { OrderedMap } from 'immutable';
import type { Incarnation, VmId } from './vm';

/** Version of the envelope; another one is dropped. Bodies carry a version of their own. */
export const DATAGRAM_VERSION = 1;

/** Largest datagram, envelope included, bytes: fits an Ethernet frame with room for tunnels. */
export const MAX_DATAGRAM_BYTES = 1200;

/** Length of the code, bytes. */
export const MAC_BYTES = 16;

/** Length of the fixed fields before the sender's id, bytes. */
export const HEADER_BYTES = 18;

/** Longest id of a VM, bytes of UTF-8. */
export const MAX_ID_BYTES = 64;

/**
 * Sequence numbers behind the highest that may still arrive late. A sender counts its datagrams to all
 * receivers together, and bursts to many of them may overtake each other on the way between regions.
 */
export const REPLAY_WINDOW = 1024;

/** Senders whose sequence numbers are remembered. */
export const MAX_REPLAY_SENDERS = 2048;

/** What was seen of one sender. */
export interface ReplayWindow {
  readonly incarnation: Incarnation;
  readonly highest: number;
  /** Bit `n` is set where `highest - n` was seen. */
  readonly seen: bigint;
}

export type ReplayWindows = OrderedMap<VmId, ReplayWindow>;

export interface Envelope {
  readonly sender: VmId;
  readonly incarnation: Incarnation;
  /** Grows with each datagram of this life, whoever it goes to. */
  readonly sequence: number;
}

export type DropReason =
  'oversized' | 'malformed' | 'other-version' | 'foreign-fleet' | 'unauthenticated' | 'replayed';

export type OpenedDatagram =
  | {
      readonly type: 'opened';
      readonly envelope: Envelope;
      readonly payload: Uint8Array;
      readonly windows: ReplayWindows;
    }
  | { readonly type: 'dropped'; readonly reason: DropReason };
