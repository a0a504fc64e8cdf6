/** Asks the table and keeps what the answer is for. */

import type { RangeRead, Transaction } from '../contracts/table';
import type { OperationsState, TableCall } from './operationsState';
import { step, type OperationsStep } from './step';

/** What the table is asked. */
export type TableRequest =
  | { readonly type: 'transact'; readonly transaction: Transaction }
  | { readonly type: 'read-rows'; readonly table: string; readonly keys: readonly string[] }
  | { readonly type: 'read-range'; readonly range: RangeRead };

/** Sends the request. */
export function callTable(
  state: OperationsState,
  tableCall: TableCall,
  request: TableRequest,
): OperationsStep {
  const call = `t${state.nextCall}`;
  const tableCalls = state.tableCalls.set(call, tableCall);
  return step({ ...state, nextCall: state.nextCall + 1, tableCalls }, { ...request, call });
}
