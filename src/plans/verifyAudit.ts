/** Checks the hash chain of the audit trail. */

import type { AuditEntry, AuditHead } from './auditEntry';
import { digestObject } from './digestObject';

/** `broken` names the first entry that does not follow from the one before. */
export type AuditVerdict =
  | { readonly type: 'whole'; readonly entries: number; readonly head: AuditHead }
  | { readonly type: 'broken'; readonly sequence: number; readonly detail: string };

/**
 * Checks entries in order against the head that they follow.
 *
 * @param before the head before the first entry
 * @param entries the entries, in order
 */
export function verifyAudit(before: AuditHead, entries: readonly AuditEntry[]): AuditVerdict {
  let last = before;
  for (const entry of entries) {
    const detail = findFault(last, entry);
    if (detail !== undefined) return { type: 'broken', sequence: last.sequence + 1, detail };
    last = { sequence: entry.sequence, hash: entry.hash };
  }
  return { type: 'whole', entries: entries.length, head: last };
}

function findFault(last: AuditHead, entry: AuditEntry): string | undefined {
  const { hash, ...linked } = entry;
  if (entry.sequence !== last.sequence + 1) return `entry ${last.sequence + 1} is missing`;
  if (entry.previous !== last.hash) return 'it does not name the hash of the entry before';
  if (digestObject(linked) !== hash) return 'its contents do not match its hash';
  return undefined;
}
