/** Resolves the outcome of a commit whose reply was lost, from the revision row in the table. */

import type { ReadResult } from '../contracts/table';
import type { Revision } from './configuration';
import { decodeRevision } from './decodeRevision';

/**
 * `committed`: the row holds this change. `lost`: another change was committed under this revision number.
 * `absent`: nothing is written yet; the same transaction may be sent again, since its conditions let it
 * commit only once. `unknown`: the store did not answer; read the row again.
 */
export type CommitOutcome = 'committed' | 'lost' | 'absent' | 'unknown';

/**
 * Compares the row at the revision's key with the change that the transaction writes.
 *
 * @param revision the revision whose commit is ambiguous
 * @param read the result of reading the row at `formatRevisionKey(revision.number)`
 */
export function resolveCommit(revision: Revision, read: ReadResult): CommitOutcome {
  if (read.type === 'unavailable') return 'unknown';
  const row = read.rows[0];
  if (row === undefined) return 'absent';
  const decoded = decodeRevision(row.value);
  if (decoded.type === 'malformed') return 'lost';
  return decoded.revision.changeId === revision.changeId ? 'committed' : 'lost';
}
