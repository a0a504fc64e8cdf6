/** Adds audit entries to the hash chain. */

import type { AuditBody, AuditEntry, AuditHead } from './auditEntry';
import { digestObject } from './digestObject';

/**
 * Chains entries to a head.
 *
 * @param head the last entry so far
 * @param bodies contents of the new entries, in order
 * @returns the entries and the head after them
 */
export function chainAudit(
  head: AuditHead,
  bodies: readonly AuditBody[],
): { readonly entries: readonly AuditEntry[]; readonly head: AuditHead } {
  const entries: AuditEntry[] = [];
  let last = head;
  for (const body of bodies) {
    const linked = { ...body, sequence: last.sequence + 1, previous: last.hash };
    const entry = { ...linked, hash: digestObject(linked) ?? '' };
    entries.push(entry);
    last = { sequence: entry.sequence, hash: entry.hash };
  }
  return { entries, head: last };
}
