/** Takes over the head rows of the configuration and the audit trail that an answer showed. */

import type { Row } from '../contracts/table';
import type { AuditHead } from './auditEntry';
import { AUDIT_HEAD_KEY, AUDIT_TABLE } from './planRows';
import type { Plans, Seen } from './planState';
import { CONFIGURATION_TABLE, HEAD_KEY } from '../configuration/configurationConstants';
import type { Head } from '../configuration/head';

/** The heads of an empty table. */
export const NO_HEAD: Seen<Head> = { value: { revision: 0, changeId: '' }, version: 0 };
export const NO_AUDIT_HEAD: Seen<AuditHead> = { value: { sequence: 0, hash: '' }, version: 0 };

/**
 * Notes head rows.
 *
 * @param state the state before
 * @param rows any rows; others than the heads are passed over
 * @returns the same state where no head row was among them
 */
export function learnHeads(state: Plans, rows: readonly Row[]): Plans {
  const head = rows.find((row) => row.table === CONFIGURATION_TABLE && row.key === HEAD_KEY);
  const audit = rows.find((row) => row.table === AUDIT_TABLE && row.key === AUDIT_HEAD_KEY);
  if (head === undefined && audit === undefined) return state;
  return {
    ...state,
    head: head === undefined ? state.head : seenRow(head, NO_HEAD),
    auditHead: audit === undefined ? state.auditHead : seenRow(audit, NO_AUDIT_HEAD),
  };
}

function seenRow<Value>(row: Row, missing: Seen<Value>): Seen<Value> {
  if (row.version === 0) return missing;
  return { value: JSON.parse(row.value) as Value, version: row.version };
}
