/** Notes word of the store. */

import type { Fleet } from './fleet';

/**
 * @param fleet the state
 * @param nonce of the read that was answered; one from before the VM woke proves nothing
 * @param atMs now
 */
export function recordStoreContact(fleet: Fleet, nonce: number, atMs: number): Fleet {
  const { availability: standing } = fleet;
  if (nonce < standing.minValidNonce) return fleet;
  return { ...fleet, availability: { ...standing, hasFreshAnswer: true, storeLastSeenAtMs: atMs } };
}
