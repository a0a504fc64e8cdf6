/** HMAC-SHA-256 over the messages between VMs, under the fleet's current key. */

import { createHmac, timingSafeEqual } from 'node:crypto';
import type { FleetKeys } from '../node/settings';
import type { Seal } from './seal';

/** Bytes of the proof before each message. */
const TAG_BYTES = 32;

/**
 * Creates a seal that closes with the current key and opens with either.
 *
 * @param fleet name of the fleet; messages of another one do not open even under the same key
 * @param keys the fleet's keys
 */
export function createSeal(fleet: string, { current, previous }: FleetKeys): Seal {
  const accepted = previous === undefined ? [current] : [current, previous];
  return {
    close: (bytes) => Buffer.concat([tagOf(bytes, fleet, current), bytes]),
    open: (sealed) => {
      if (sealed.byteLength < TAG_BYTES) return undefined;
      const tag = sealed.subarray(0, TAG_BYTES);
      const bytes = sealed.subarray(TAG_BYTES);
      const isTrue = accepted.some((key) => timingSafeEqual(tagOf(bytes, fleet, key), tag));
      return isTrue ? bytes : undefined;
    },
  };
}

function tagOf(bytes: Uint8Array, fleet: string, key: string): Buffer {
  return createHmac('sha256', key).update(`peer\0${fleet}\0`).update(bytes).digest();
}
