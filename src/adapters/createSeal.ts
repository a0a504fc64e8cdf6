/** HMAC-SHA-256 over what VMs send each other, under the fleet's current key. */

import { createHmac, timingSafeEqual } from 'node:crypto';
import type { FleetKeys } from '../node/settings';
import type { Seal } from './seal';

/** Bytes of the proof before each message. */
const TAG_BYTES = 32;

/**
 * Creates a seal that closes with the current key and opens with either.
 *
 * @param keys the fleet's keys
 */
export function createSeal({ current, previous }: FleetKeys): Seal {
  const accepted = previous === undefined ? [current] : [current, previous];
  return {
    close: (bytes) => Buffer.concat([tagOf(bytes, current), bytes]),
    open: (sealed) => {
      if (sealed.byteLength < TAG_BYTES) return undefined;
      const tag = sealed.subarray(0, TAG_BYTES);
      const bytes = sealed.subarray(TAG_BYTES);
      const isTrue = accepted.some((key) => timingSafeEqual(tagOf(bytes, key), tag));
      return isTrue ? bytes : undefined;
    },
  };
}

function tagOf(bytes: Uint8Array, key: string): Buffer {
  return createHmac('sha256', key).update(bytes).digest();
}
