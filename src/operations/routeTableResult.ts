/** Routes an answer of the table to the handler of the request. */

import type { OperationEvent } from './operationMessage';
import { applyClaimWrite } from './applyClaimWrite';
import { applyClaimRead } from './applyClaimRead';
import { resolveFromClaimRow } from './resolveFromClaimRow';
import { completeBatch } from './completeBatch';
import { applyReleaseWrite } from './applyReleaseWrite';
import { applyReleaseRead } from './applyReleaseRead';
import { processScanPage } from './processScanPage';
import type { OperationsState, TableCall } from './operationsState';
import { step, type OperationsStep } from './step';

type Answer = Extract<OperationEvent, { readonly type: 'transacted' | 'rows-read' }>;
type Written = Extract<Answer, { readonly type: 'transacted' }>;
type Read = Extract<Answer, { readonly type: 'rows-read' }>;

type TableHandler<Call, Event> = (
  state: OperationsState,
  call: Call,
  event: Event,
) => OperationsStep;

type TableCallOf<Type extends TableCall['type']> = Extract<TableCall, { readonly type: Type }>;

interface TableHandlers {
  readonly written: {
    readonly [Type in 'record' | 'claim' | 'release']: TableHandler<TableCallOf<Type>, Written>;
  };
  readonly read: {
    readonly [Type in 'scan' | 'outcome-row' | 'claim-read' | 'release-read']: TableHandler<
      TableCallOf<Type>,
      Read
    >;
  };
}

const handlers: TableHandlers = {
  written: {
    record: (state, _, { result }) => completeBatch(state, result),
    claim: (state, { key }, event) => applyClaimWrite(state, key, event.result, event),
    release: (state, { key }, { result }) => applyReleaseWrite(state, key, result),
  },
  read: {
    scan: (state, { prefix }, { result }) => processScanPage(state, prefix, result),
    'outcome-row': (state, { call }, { result }) => resolveFromClaimRow(state, call, result),
    'claim-read': (state, { key }, event) => applyClaimRead(state, key, event.result, event),
    'release-read': (state, { key }, { result }) => applyReleaseRead(state, key, result),
  },
};

/** Drops an answer to an unknown request. */
export function routeTableResult(state: OperationsState, event: Answer): OperationsStep {
  const tableCall = state.tableCalls.get(event.call);
  if (tableCall === undefined) return step(state);
  const next = { ...state, tableCalls: state.tableCalls.delete(event.call) };
  const table = event.type === 'transacted' ? handlers.written : handlers.read;
  const handler = (table as Readonly<Record<string, TableHandler<TableCall, Answer> | undefined>>)[
    tableCall.type
  ];
  return handler === undefined ? step(next) : handler(next, tableCall, event);
}
