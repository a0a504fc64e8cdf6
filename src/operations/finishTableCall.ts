/** Hands an answer of the table to whoever asked. */

import type { OperationEvent } from './operationMessage';
import { finishClaim } from './finishClaim';
import { finishClaimRead } from './finishClaimRead';
import { finishOutcomeRow } from './finishOutcomeRow';
import { finishRecording } from './finishRecording';
import { finishRelease } from './finishRelease';
import { finishReleaseRead } from './finishReleaseRead';
import { finishScanPage } from './finishScanPage';
import type { OperationsState, TableCall } from './operationsState';
import { step, type OperationsStep } from './step';

type Answer = Extract<OperationEvent, { readonly type: 'transacted' | 'rows-read' }>;
type Written = Extract<Answer, { readonly type: 'transacted' }>;
type Read = Extract<Answer, { readonly type: 'rows-read' }>;

type Handle<Call, Event> = (state: OperationsState, call: Call, event: Event) => OperationsStep;

type Of<Type extends TableCall['type']> = Extract<TableCall, { readonly type: Type }>;

interface TableHandlers {
  readonly written: {
    readonly [Type in 'record' | 'claim' | 'release']: Handle<Of<Type>, Written>;
  };
  readonly read: {
    readonly [Type in 'scan' | 'outcome-row' | 'claim-read' | 'release-read']: Handle<
      Of<Type>,
      Read
    >;
  };
}

const handlers: TableHandlers = {
  written: {
    record: (state, _, { result }) => finishRecording(state, result),
    claim: (state, { key }, event) => finishClaim(state, key, event.result, event),
    release: (state, { key }, { result }) => finishRelease(state, key, result),
  },
  read: {
    scan: (state, { prefix }, { result }) => finishScanPage(state, prefix, result),
    'outcome-row': (state, { call }, { result }) => finishOutcomeRow(state, call, result),
    'claim-read': (state, { key }, event) => finishClaimRead(state, key, event.result, event),
    'release-read': (state, { key }, { result }) => finishReleaseRead(state, key, result),
  },
};

/** An answer that nobody waits for is dropped. */
export function finishTableCall(state: OperationsState, event: Answer): OperationsStep {
  const tableCall = state.tableCalls.get(event.call);
  if (tableCall === undefined) return step(state);
  const next = { ...state, tableCalls: state.tableCalls.delete(event.call) };
  const table = event.type === 'transacted' ? handlers.written : handlers.read;
  const handle = (table as Readonly<Record<string, Handle<TableCall, Answer> | undefined>>)[
    tableCall.type
  ];
  return handle === undefined ? step(next) : handle(next, tableCall, event);
}
