/** The code that proves that a datagram comes from a holder of the shared key. */

import { createHmac } from 'node:crypto';
import { MAC_BYTES } from './datagram';

/**
 * @param key the shared key
 * @param fleet name of the fleet
 * @param bytes all of the datagram before the code
 */
export function computeMac(key: Uint8Array, fleet: string, bytes: Uint8Array): Uint8Array {
  const mac = createHmac('sha256', key).update(fleet).update('\0').update(bytes).digest();
  return mac.subarray(0, MAC_BYTES);
}
