/** Distinguishes operation ids under tickets from keys that callers choose, and verifies the tickets. */

import { timingSafeEqual } from 'node:crypto';
import { z } from 'zod';
import { computeMac } from './computeMac';
import type { Ticket } from './operation';
import { MAX_ID_LENGTH, TICKET_PREFIX } from './operationLimits';

/** A parsed operation id. */
export type ParsedOperationId =
  | { readonly type: 'ticketed'; readonly ticket: Ticket; readonly sequence: number }
  | { readonly type: 'own-key' }
  | { readonly type: 'invalid'; readonly detail: string };

const claimsSchema = z.tuple([
  z.string(),
  z.string(),
  z.number().int().nonnegative(),
  z.number().int().positive(),
]);

const idPattern = /^([A-Za-z0-9_-]+)\.([A-Za-z0-9_-]+)\/([1-9][0-9]{0,14})$/;

/**
 * Parses an operation id.
 *
 * @param id the id as the caller sent it
 * @param keys secrets with which tickets are verified
 */
export function parseOperationId(id: string, keys: readonly string[]): ParsedOperationId {
  if (id.length === 0 || id.length > MAX_ID_LENGTH) {
    return { type: 'invalid', detail: `An id has 1 to ${MAX_ID_LENGTH} characters` };
  }
  if (!id.startsWith(TICKET_PREFIX)) return { type: 'own-key' };
  const parts = idPattern.exec(id.slice(TICKET_PREFIX.length));
  if (parts === null) return { type: 'invalid', detail: 'Not of the form ticket/sequence' };
  const [, body = '', mac = '', sequence = ''] = parts;
  if (!keys.some((key) => isEqualMac(mac, computeMac(body, key)))) {
    return { type: 'invalid', detail: 'The ticket was not signed by this fleet' };
  }
  const claims = claimsSchema.safeParse(JSON.parse(Buffer.from(body, 'base64url').toString()));
  if (!claims.success) return { type: 'invalid', detail: 'The ticket has other fields' };
  const [workspace, vm, incarnation, serial] = claims.data;
  return {
    type: 'ticketed',
    ticket: { workspace, vm, incarnation, serial },
    sequence: Number(sequence),
  };
}

function isEqualMac(left: string, right: string): boolean {
  const a = Buffer.from(left);
  const b = Buffer.from(right);
  return a.length === b.length && timingSafeEqual(a, b);
}
