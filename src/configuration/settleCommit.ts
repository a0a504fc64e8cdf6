/** Settles a commit whose reply was lost, from the revision row that now stands. */

import type { ReadResult } from '../contracts/table';
import type { Revision } from './configuration';
import { decodeRevision } from './decodeRevision';

/**
 * `committed`: the row holds this change. `lost`: the number went to another change. `absent`: nothing
 * was written yet; the same transaction may be sent again, since its conditions let it apply only once.
 * `unknown`: the store gave no answer; ask again.
 */
export type CommitOutcome = 'committed' | 'lost' | 'absent' | 'unknown';

/**
 * Compares the row at the revision's key with the change that was to be written there.
 *
 * @param revision the revision whose commit is ambiguous
 * @param read the answer to a read of `revisionKey(revision.number)`
 */
export function settleCommit(revision: Revision, read: ReadResult): CommitOutcome {
  if (read.type === 'unavailable') return 'unknown';
  const row = read.rows[0];
  if (row === undefined) return 'absent';
  const decoded = decodeRevision(row.value);
  if (decoded.type === 'malformed') return 'lost';
  return decoded.revision.changeId === revision.changeId ? 'committed' : 'lost';
}
