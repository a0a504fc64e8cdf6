/** Records an answer of the store. */

import type { Fleet } from './fleet';

/**
 * @param fleet the state
 * @param nonce of the answered read; one sent before the VM resumed proves nothing
 * @param atMs now
 */
export function recordStoreContact(fleet: Fleet, nonce: number, atMs: number): Fleet {
  const { availability } = fleet;
  if (nonce < availability.minValidNonce) return fleet;
  return {
    ...fleet,
    availability: { ...availability, hasFreshAnswer: true, storeLastSeenAtMs: atMs },
  };
}
