/** The MAC that authenticates a ticket of this fleet: HMAC-SHA-256 (RFC 2104). */

import { createHmac } from 'node:crypto';
import { TICKET_PREFIX } from './operationLimits';

/**
 * Computes the MAC of a ticket.
 *
 * @param claims the ticket's encoded claims
 * @param key secret of the fleet
 * @returns base64url text
 */
export function computeMac(claims: string, key: string): string {
  return createHmac('sha256', key).update(TICKET_PREFIX).update(claims).digest('base64url');
}
