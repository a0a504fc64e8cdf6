/** The one transaction that commits a revision. */

import type { RowVersion, Transaction } from '../contracts/table';
import type { Revision } from './configuration';
import { CONFIGURATION_TABLE, HEAD_KEY } from './configurationConstants';
import { encodeHead } from './encodeHead';
import { encodeRevision } from './encodeRevision';
import { revisionKey } from './revisionKey';

/**
 * Builds the transaction that writes a revision and moves the head to it. It applies only while the
 * head row has the version that was read and no row of that number exists.
 *
 * @param revision the revision to commit, one above the head
 * @param headVersion version of the head row as it was read; 0 where there is none
 */
export function commitRevision(revision: Revision, headVersion: RowVersion): Transaction {
  const table = CONFIGURATION_TABLE;
  const key = revisionKey(revision.number);
  const head = { revision: revision.number, changeId: revision.changeId };
  return {
    conditions: [
      { table, key: HEAD_KEY, version: headVersion },
      { table, key, version: 0 },
    ],
    writes: [
      { table, key, value: encodeRevision(revision) },
      { table, key: HEAD_KEY, value: encodeHead(head) },
    ],
  };
}
