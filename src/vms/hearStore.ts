/** Notes word of the store. */

import type { Fleet } from './fleet';

/**
 * @param fleet the state
 * @param nonce of the read that was answered; one from before the VM woke proves nothing
 * @param atMs now
 */
export function hearStore(fleet: Fleet, nonce: number, atMs: number): Fleet {
  const { standing } = fleet;
  if (nonce < standing.firstNonce) return fleet;
  return { ...fleet, standing: { ...standing, isAwake: true, heardStoreAtMs: atMs } };
}
