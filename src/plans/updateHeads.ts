/** Updates the known heads of the configuration and the audit trail from rows of the table. */

import type { Row } from '../contracts/table';
import type { AuditHead } from './auditEntry';
import { AUDIT_HEAD_KEY, AUDIT_TABLE } from './planRows';
import type { Plans, VersionedValue } from './planState';
import { CONFIGURATION_TABLE, HEAD_KEY } from '../configuration/configurationConstants';
import type { Head } from '../configuration/head';

/** The heads of an empty table. */
export const NO_HEAD: VersionedValue<Head> = { value: { revision: 0, changeId: '' }, version: 0 };
export const NO_AUDIT_HEAD: VersionedValue<AuditHead> = {
  value: { sequence: 0, hash: '' },
  version: 0,
};

/**
 * Updates the heads from their rows.
 *
 * @param state the state before
 * @param rows rows of the table; rows other than the heads are ignored
 * @returns the same state if the rows contain no head
 */
export function updateHeads(state: Plans, rows: readonly Row[]): Plans {
  const head = rows.find((row) => row.table === CONFIGURATION_TABLE && row.key === HEAD_KEY);
  const audit = rows.find((row) => row.table === AUDIT_TABLE && row.key === AUDIT_HEAD_KEY);
  if (head === undefined && audit === undefined) return state;
  return {
    ...state,
    head: head === undefined ? state.head : decodeHeadRow(head, NO_HEAD),
    auditHead: audit === undefined ? state.auditHead : decodeHeadRow(audit, NO_AUDIT_HEAD),
  };
}

function decodeHeadRow<Value>(row: Row, missing: VersionedValue<Value>): VersionedValue<Value> {
  if (row.version === 0) return missing;
  return { value: JSON.parse(row.value) as Value, version: row.version };
}
