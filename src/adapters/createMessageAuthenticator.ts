/** Authenticates the messages between VMs with HMAC-SHA-256 and the fleet's keys. */

import { createHmac, timingSafeEqual } from 'node:crypto';
import type { FleetKeys } from '../node/settings';
import type { MessageAuthenticator } from './messageAuthenticator';

/** Size of the authentication tag before each message. */
const TAG_BYTES = 32;

/**
 * Creates an authenticator that signs with the current key and accepts either key.
 *
 * @param fleet name of the fleet; messages of another fleet are rejected even if it has the same key
 * @param keys the fleet's keys
 */
export function createMessageAuthenticator(
  fleet: string,
  { current, previous }: FleetKeys,
): MessageAuthenticator {
  const acceptedKeys = previous === undefined ? [current] : [current, previous];
  return {
    sign: (bytes) => Buffer.concat([computeTag(bytes, fleet, current), bytes]),
    verify: (signed) => {
      if (signed.byteLength < TAG_BYTES) return undefined;
      const tag = signed.subarray(0, TAG_BYTES);
      const bytes = signed.subarray(TAG_BYTES);
      const isAuthentic = acceptedKeys.some((key) =>
        timingSafeEqual(computeTag(bytes, fleet, key), tag),
      );
      return isAuthentic ? bytes : undefined;
    },
  };
}

function computeTag(bytes: Uint8Array, fleet: string, key: string): Buffer {
  return createHmac('sha256', key).update(`peer\0${fleet}\0`).update(bytes).digest();
}
