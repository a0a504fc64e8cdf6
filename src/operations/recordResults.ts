/**
 * Writes results to the table after the answers were sent, merged into a few rows per batch. The pause
 * after a batch is proportional to its rows and to the number of VMs. This keeps all VMs together within
 * their share of the table's writes at any size of the fleet.
 */

import type { RowWrite } from '../contracts/table';
import { MS_PER_SECOND } from '../units';
import { callTable } from './callTable';
import { formatChunkPrefix } from './formatChunkPrefix';
import type { CallResult } from './operationMessage';
import {
  CHUNK_RETENTION_MS,
  CLAIM_TABLE,
  MAX_BATCH_DELETES,
  MAX_BATCH_RESULTS,
  MAX_BATCH_ROWS,
  MAX_CHUNK_BYTES,
  MAX_RECORDED_BODY_BYTES,
  MIN_RECORD_INTERVAL_MS,
  RECORD_WRITES_PER_SECOND,
  RESULT_TABLE,
} from './operationLimits';
import type { OperationsState, RetainedOperation } from './operationsState';
import { omitLargeBody } from './omitLargeBody';
import { step, type OperationsStep } from './step';

/** Keys hold the distance of the chunk number from this, which sorts the newest chunk first. */
const MAX_CHUNK_NUMBER = 9_999_999_999;

/** Sends the next batch if results or expired rows are waiting and no batch is in flight. */
export function recordResults(state: OperationsState, atMs: number): OperationsStep {
  const ready = { ...state, isRecordTimerSet: false };
  if (state.batch !== undefined) return step(ready);
  const { taken, claims, chunks } = selectResults(state);
  const keys = chunks.map((_, index) => formatChunkKey(state, state.nextChunk + index));
  const expired = findExpired(state, atMs);
  const writes: readonly RowWrite[] = [
    ...claims.map(createClaimWrite),
    ...chunks.map((entries, index) => createChunkWrite(keys[index] ?? '', entries)),
    ...expired.map(({ key }) => ({ table: RESULT_TABLE, key, value: undefined })),
  ];
  const dequeued = { ...ready, unrecorded: state.unrecorded.skip(taken) };
  if (writes.length === 0) return step(dequeued);
  const written = keys.map((key) => ({ key, writtenAtMs: atMs }));
  const pausePerRowMs = (MS_PER_SECOND * (state.vms.length + 1)) / RECORD_WRITES_PER_SECOND;
  const next = {
    ...dequeued,
    batch: { writes, tries: 0 },
    nextChunk: state.nextChunk + chunks.length,
    chunks: state.chunks.skip(expired.length).push(...written),
    recordPauseMs: Math.max(MIN_RECORD_INTERVAL_MS, writes.length * pausePerRowMs),
  };
  const transaction = { conditions: [], writes };
  return callTable(next, { type: 'record' }, { type: 'transact', transaction });
}

type Entry = readonly [string, string, CallResult];

interface SelectedResults {
  /** Number of keys to remove from the queue. */
  readonly taken: number;
  readonly claims: readonly RetainedOperation[];
  readonly chunks: readonly (readonly Entry[])[];
}

function selectResults(state: OperationsState): SelectedResults {
  const claims: RetainedOperation[] = [];
  const chunks: Entry[][] = [];
  let taken = 0;
  let remainingBytes = 0;
  for (const key of state.unrecorded.take(MAX_BATCH_RESULTS)) {
    const operation = state.retained.get(key);
    if (operation !== undefined) {
      const entry = [
        key,
        operation.fingerprint,
        omitLargeBody(operation.result, MAX_RECORDED_BODY_BYTES),
      ] as const;
      const bytes = Buffer.byteLength(JSON.stringify(entry));
      const isClaim = operation.origin.type === 'claim';
      const needsRow = isClaim || bytes > remainingBytes;
      if (needsRow && claims.length + chunks.length >= MAX_BATCH_ROWS) break;
      if (isClaim) claims.push(operation);
      else if (needsRow) {
        chunks.push([entry]);
        remainingBytes = MAX_CHUNK_BYTES - bytes;
      } else {
        chunks.at(-1)?.push(entry);
        remainingBytes -= bytes;
      }
    }
    taken += 1;
  }
  return { taken, claims, chunks };
}

function createClaimWrite(operation: RetainedOperation): RowWrite {
  const { key, origin, fingerprint, result } = operation;
  const token = origin.type === 'claim' ? origin.token : '';
  const row = {
    state: 'done',
    token,
    fingerprint,
    result: omitLargeBody(result, MAX_RECORDED_BODY_BYTES),
  };
  return { table: CLAIM_TABLE, key, value: JSON.stringify(row) };
}

function createChunkWrite(key: string, entries: readonly Entry[]): RowWrite {
  return { table: RESULT_TABLE, key, value: JSON.stringify(entries) };
}

function formatChunkKey(state: OperationsState, number: number): string {
  const { vm, incarnation } = state.options;
  const order = String(MAX_CHUNK_NUMBER - number).padStart(String(MAX_CHUNK_NUMBER).length, '0');
  return `${formatChunkPrefix(vm, incarnation)}${order}`;
}

function findExpired(state: OperationsState, atMs: number) {
  return state.chunks
    .take(MAX_BATCH_DELETES)
    .filter(({ writtenAtMs }) => writtenAtMs + CHUNK_RETENTION_MS < atMs)
    .toArray();
}
