/** Reads one page of the rows of a home. */

import { callTable } from './callTable';
import { RESULT_TABLE, SCAN_PAGE_ROWS } from './operationLimits';
import type { OperationsState } from './operationsState';
import type { OperationsStep } from './step';

/** Sorts after every chunk number. */
const AFTER_DIGITS = ':';

/** Asks for the rows from the key `from` on, newest first. */
export function readChunks(state: OperationsState, prefix: string, from: string): OperationsStep {
  const range = {
    table: RESULT_TABLE,
    from,
    to: `${prefix}${AFTER_DIGITS}`,
    limit: SCAN_PAGE_ROWS,
  };
  return callTable(state, { type: 'scan', prefix }, { type: 'read-range', range });
}
