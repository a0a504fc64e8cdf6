/** Sends a request to the table and records its purpose. */

import type { RangeRead, Transaction } from '../contracts/table';
import type { OperationsState, TableCall } from './operationsState';
import { step, type OperationsStep } from './step';

/** A request to the table, without its call id. */
export type TableRequest =
  | { readonly type: 'transact'; readonly transaction: Transaction }
  | { readonly type: 'read-rows'; readonly table: string; readonly keys: readonly string[] }
  | { readonly type: 'read-range'; readonly range: RangeRead };

/** Sends the request and records `tableCall` under a new call id. */
export function callTable(
  state: OperationsState,
  tableCall: TableCall,
  request: TableRequest,
): OperationsStep {
  const call = `t${state.nextCall}`;
  const tableCalls = state.tableCalls.set(call, tableCall);
  return step({ ...state, nextCall: state.nextCall + 1, tableCalls }, { ...request, call });
}
