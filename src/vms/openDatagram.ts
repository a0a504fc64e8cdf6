/** Authenticates a datagram and extracts its payload, or reports why it is dropped. */

import { timingSafeEqual } from 'node:crypto';
import { hash32 } from '../hashing/hash32';
import { admitSequence } from './admitSequence';
import { computeMac } from './computeMac';
import { DATAGRAM_VERSION, HEADER_BYTES, MAC_BYTES, MAX_DATAGRAM_BYTES } from './datagram';
import type { DropReason, OpenedDatagram, ReplayWindows } from './datagram';

export interface OpenOptions {
  readonly fleet: string;
  /** The current key and, during a key rotation, the previous or the next one. */
  readonly keys: readonly Uint8Array[];
  /** Replay window of each sender; the result contains the updated ones. */
  readonly windows: ReplayWindows;
}

const FLEET_AT = 1;
const INCARNATION_AT = 5;
const SEQUENCE_AT = 11;
const ID_LENGTH_AT = 17;
const LONG_NUMBER_BYTES = 6;

/**
 * Opens one datagram. The MAC is verified before the sender and payload are used and the sequence
 * number is recorded.
 *
 * @param bytes as received from the socket
 * @param options fleet, keys and replay windows
 */
export function openDatagram(bytes: Uint8Array, options: OpenOptions): OpenedDatagram {
  if (bytes.length > MAX_DATAGRAM_BYTES) return drop('oversized');
  const all = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length);
  if (all.length < HEADER_BYTES + MAC_BYTES + 1) return drop('malformed');
  if (all.readUInt8(0) !== DATAGRAM_VERSION) return drop('other-version');
  if (all.readUInt32BE(FLEET_AT) !== hash32(options.fleet)) return drop('foreign-fleet');
  const body = all.subarray(0, all.length - MAC_BYTES);
  const mac = all.subarray(all.length - MAC_BYTES);
  const isAuthentic = (key: Uint8Array): boolean =>
    timingSafeEqual(computeMac(key, options.fleet, body), mac);
  if (!options.keys.some(isAuthentic)) return drop('unauthenticated');
  const payloadAt = HEADER_BYTES + all.readUInt8(ID_LENGTH_AT);
  if (payloadAt === HEADER_BYTES || payloadAt > body.length) return drop('malformed');
  const envelope = {
    sender: body.toString('utf8', HEADER_BYTES, payloadAt),
    incarnation: all.readUIntBE(INCARNATION_AT, LONG_NUMBER_BYTES),
    sequence: all.readUIntBE(SEQUENCE_AT, LONG_NUMBER_BYTES),
  };
  const windows = admitSequence(options.windows, envelope);
  if (windows === undefined) return drop('replayed');
  return { type: 'opened', envelope, payload: body.subarray(payloadAt), windows };
}

function drop(reason: DropReason): OpenedDatagram {
  return { type: 'dropped', reason };
}
