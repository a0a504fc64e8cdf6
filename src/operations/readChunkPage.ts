/** Reads one page of the results that a VM recorded. */

import { callTable } from './callTable';
import { RESULT_TABLE, SCAN_PAGE_ROWS } from './operationLimits';
import type { OperationsState } from './operationsState';
import type { OperationsStep } from './step';

/** Sorts after every chunk number. */
const AFTER_DIGITS = ':';

/** Requests the rows from the key `from` on; keys sort the newest row first. */
export function readChunkPage(
  state: OperationsState,
  prefix: string,
  from: string,
): OperationsStep {
  const range = {
    table: RESULT_TABLE,
    from,
    to: `${prefix}${AFTER_DIGITS}`,
    limit: SCAN_PAGE_ROWS,
  };
  return callTable(state, { type: 'scan', prefix }, { type: 'read-range', range });
}
