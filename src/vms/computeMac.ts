/** Computes the message authentication code (MAC) of a datagram. */

import { createHmac } from 'node:crypto';
import { MAC_BYTES } from './datagram';

/**
 * @param key the shared key
 * @param fleet name of the fleet
 * @param bytes all bytes of the datagram before the MAC
 */
export function computeMac(key: Uint8Array, fleet: string, bytes: Uint8Array): Uint8Array {
  const mac = createHmac('sha256', key).update(fleet).update('\0').update(bytes).digest();
  return mac.subarray(0, MAC_BYTES);
}
