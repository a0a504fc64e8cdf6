/** Builds the transaction that commits a revision. */

import type { RowVersion, Transaction } from '../contracts/table';
import type { Revision } from './configuration';
import { CONFIGURATION_TABLE, HEAD_KEY } from './configurationConstants';
import { encodeHead } from './encodeHead';
import { encodeRevision } from './encodeRevision';
import { formatRevisionKey } from './formatRevisionKey';

/**
 * The transaction writes the revision and moves the head to it. It commits only while the head row has
 * the version that was read and the revision's row does not exist.
 *
 * @param revision the revision to commit, one above the head
 * @param headVersion version of the head row that was read; 0 if there is none
 */
export function buildCommitTransaction(revision: Revision, headVersion: RowVersion): Transaction {
  const table = CONFIGURATION_TABLE;
  const key = formatRevisionKey(revision.number);
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
