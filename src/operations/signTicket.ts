/**
 * Signs tickets. A ticket holds its claims as base64url JSON, then an HMAC-SHA-256 over them (RFC 2104).
 * Any VM that has the key can verify a ticket without a request to its owner.
 */

import { computeMac } from './computeMac';
import type { Ticket } from './operation';
import { TICKET_PREFIX } from './operationLimits';

/**
 * Signs a ticket.
 *
 * @param ticket the claims
 * @param key the secret
 * @returns text without `/`, to which callers append `/sequence`
 */
export function signTicket(ticket: Ticket, key: string): string {
  const claims = [ticket.workspace, ticket.vm, ticket.incarnation, ticket.serial];
  const body = Buffer.from(JSON.stringify(claims)).toString('base64url');
  return `${TICKET_PREFIX}${body}.${computeMac(body, key)}`;
}
