/**
 * The envelope of datagrams between VMs: the sender's id, its incarnation, a sequence number, and a
 * message authentication code (MAC) made with the shared key.
 *
 * Layout, numbers big-endian: version (1 byte), hash of the fleet's name (4), incarnation (6),
 * sequence (6), length of the sender's id (1), the id, the payload, and the first 16 bytes of
 * HMAC-SHA256 over the fleet's name, a zero byte and all preceding bytes of the datagram.
 */

import type { OrderedMap } from 'immutable';
import type { Incarnation, VmId } from './vm';

/** Version of the envelope; datagrams of other versions are dropped. Bodies have their own version. */
export const DATAGRAM_VERSION = 1;

/** Largest datagram including the envelope, bytes: fits an Ethernet frame with room for tunnel headers. */
export const MAX_DATAGRAM_BYTES = 1200;

/** Length of the MAC, bytes. */
export const MAC_BYTES = 16;

/** Length of the fixed fields before the sender's id, bytes. */
export const HEADER_BYTES = 18;

/** Longest id of a VM, bytes of UTF-8. */
export const MAX_ID_BYTES = 64;

/**
 * Size of the replay window: how far behind the highest sequence number a datagram may arrive. A sender
 * numbers its datagrams to all receivers together, and bursts to many receivers may be reordered between
 * regions.
 */
export const REPLAY_WINDOW = 1024;

/** Maximum number of senders whose replay windows are kept. */
export const MAX_REPLAY_SENDERS = 2048;

/** Sequence numbers received from one sender. */
export interface ReplayWindow {
  readonly incarnation: Incarnation;
  readonly highest: number;
  /** Bit `n` is set if `highest - n` was received. */
  readonly seen: bigint;
}

export type ReplayWindows = OrderedMap<VmId, ReplayWindow>;

export interface Envelope {
  readonly sender: VmId;
  readonly incarnation: Incarnation;
  /** Increases with each datagram of this incarnation, to whichever receiver. */
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
