/** Wraps a payload in the authenticated envelope of a datagram. */

import { hash32 } from '../hashing/hash32';
import { computeMac } from './computeMac';
import { DATAGRAM_VERSION, HEADER_BYTES, MAX_DATAGRAM_BYTES, MAX_ID_BYTES } from './datagram';
import type { Envelope } from './datagram';

export interface SealOptions extends Envelope {
  /** Name of the fleet; separates fleets that share a key. */
  readonly fleet: string;
  /** The current key. */
  readonly key: Uint8Array;
}

export type SealedDatagram =
  | { readonly type: 'sealed'; readonly bytes: Uint8Array }
  | { readonly type: 'oversized'; readonly size: number };

const FLEET_AT = 1;
const INCARNATION_AT = 5;
const SEQUENCE_AT = 11;
const ID_LENGTH_AT = 17;
const LONG_NUMBER_BYTES = 6;

/**
 * Seals one datagram.
 *
 * @param payload the encoded body
 * @param options sender, fleet and key
 * @throws RangeError if the sender's id is empty or too long
 */
export function sealDatagram(payload: Uint8Array, options: SealOptions): SealedDatagram {
  const id = Buffer.from(options.sender, 'utf8');
  if (id.length === 0 || id.length > MAX_ID_BYTES) {
    throw new RangeError(`VM id must have 1 to ${MAX_ID_BYTES} bytes, not ${id.length}`);
  }
  const header = Buffer.alloc(HEADER_BYTES);
  header.writeUInt8(DATAGRAM_VERSION, 0);
  header.writeUInt32BE(hash32(options.fleet), FLEET_AT);
  header.writeUIntBE(options.incarnation, INCARNATION_AT, LONG_NUMBER_BYTES);
  header.writeUIntBE(options.sequence, SEQUENCE_AT, LONG_NUMBER_BYTES);
  header.writeUInt8(id.length, ID_LENGTH_AT);
  const body = Buffer.concat([header, id, payload]);
  const bytes = Buffer.concat([body, computeMac(options.key, options.fleet, body)]);
  if (bytes.length > MAX_DATAGRAM_BYTES) return { type: 'oversized', size: bytes.length };
  return { type: 'sealed', bytes };
}
