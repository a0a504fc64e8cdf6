/** Hands out the numbers that tie answers to what was sent. */

import type { Fleet } from './fleet';
import { withMembership } from './withMembership';

export interface AllocatedNonce {
  readonly fleet: Fleet;
  readonly nonce: number;
}

/** @returns a number that this VM has not used since it started */
export function allocateNonce(fleet: Fleet): AllocatedNonce {
  const nonce = fleet.membership.nextNonce;
  return { fleet: withMembership(fleet, { nextNonce: nonce + 1 }), nonce };
}
