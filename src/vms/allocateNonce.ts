/** Allocates the nonces that match answers to requests. */

import type { Fleet } from './fleet';
import { withMembership } from './withMembership';

export interface AllocatedNonce {
  readonly fleet: Fleet;
  readonly nonce: number;
}

/** @returns a nonce that this VM has not used since it started */
export function allocateNonce(fleet: Fleet): AllocatedNonce {
  const nonce = fleet.membership.nextNonce;
  return { fleet: withMembership(fleet, { nextNonce: nonce + 1 }), nonce };
}
