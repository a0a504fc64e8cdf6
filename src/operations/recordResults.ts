/**
 * Writes results behind the answers, merged into few rows a batch. A batch earns a pause in
 * proportion to its rows and to the number of VMs, so that all VMs together keep to their share of
 * the table's writes at any size of the fleet.
 */

import type { RowWrite } from '../contracts/table';
import { MS_PER_SECOND } from '../units';
import { callTable } from './callTable';
import { nameChunks } from './nameChunks';
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
import type { OperationsState, RememberedOperation } from './operationsState';
import { shortenResult } from './shortenResult';
import { step, type OperationsStep } from './step';

/** Chunk numbers are written as their distance from this, so that the newest sorts first. */
const LAST_CHUNK = 9_999_999_999;

/** Sends the next batch, where results wait and none is on its way. */
export function recordResults(state: OperationsState, atMs: number): OperationsStep {
  const ready = { ...state, isRecordTimerSet: false };
  if (state.batch !== undefined) return step(ready);
  const { taken, claims, chunks } = takeResults(state);
  const keys = chunks.map((_, index) => nameChunk(state, state.nextChunk + index));
  const expired = findExpired(state, atMs);
  const writes: readonly RowWrite[] = [
    ...claims.map(writeClaim),
    ...chunks.map((entries, index) => writeChunk(keys[index] ?? '', entries)),
    ...expired.map(({ key }) => ({ table: RESULT_TABLE, key, value: undefined })),
  ];
  const rest = { ...ready, unrecorded: state.unrecorded.skip(taken) };
  if (writes.length === 0) return step(rest);
  const written = keys.map((key) => ({ key, writtenAtMs: atMs }));
  const shareMs = (MS_PER_SECOND * (state.vms.length + 1)) / RECORD_WRITES_PER_SECOND;
  const next = {
    ...rest,
    batch: { writes, tries: 0 },
    nextChunk: state.nextChunk + chunks.length,
    chunks: state.chunks.skip(expired.length).push(...written),
    recordPauseMs: Math.max(MIN_RECORD_INTERVAL_MS, writes.length * shareMs),
  };
  const transaction = { conditions: [], writes };
  return callTable(next, { type: 'record' }, { type: 'transact', transaction });
}

type Entry = readonly [string, string, CallResult];

interface Taken {
  /** Results that left the queue. */
  readonly taken: number;
  readonly claims: readonly RememberedOperation[];
  readonly chunks: readonly (readonly Entry[])[];
}

function takeResults(state: OperationsState): Taken {
  const claims: RememberedOperation[] = [];
  const chunks: Entry[][] = [];
  let taken = 0;
  let roomBytes = 0;
  for (const key of state.unrecorded.take(MAX_BATCH_RESULTS)) {
    const operation = state.remembered.get(key);
    if (operation !== undefined) {
      const entry = [
        key,
        operation.fingerprint,
        shortenResult(operation.result, MAX_RECORDED_BODY_BYTES),
      ] as const;
      const bytes = Buffer.byteLength(JSON.stringify(entry));
      const isClaim = operation.origin.type === 'claim';
      const needsRow = isClaim || bytes > roomBytes;
      if (needsRow && claims.length + chunks.length >= MAX_BATCH_ROWS) break;
      if (isClaim) claims.push(operation);
      else if (needsRow) {
        chunks.push([entry]);
        roomBytes = MAX_CHUNK_BYTES - bytes;
      } else {
        chunks.at(-1)?.push(entry);
        roomBytes -= bytes;
      }
    }
    taken += 1;
  }
  return { taken, claims, chunks };
}

function writeClaim(operation: RememberedOperation): RowWrite {
  const { key, origin, fingerprint, result } = operation;
  const token = origin.type === 'claim' ? origin.token : '';
  const row = {
    state: 'done',
    token,
    fingerprint,
    result: shortenResult(result, MAX_RECORDED_BODY_BYTES),
  };
  return { table: CLAIM_TABLE, key, value: JSON.stringify(row) };
}

function writeChunk(key: string, entries: readonly Entry[]): RowWrite {
  return { table: RESULT_TABLE, key, value: JSON.stringify(entries) };
}

function nameChunk(state: OperationsState, number: number): string {
  const { vm, incarnation } = state.options;
  const order = String(LAST_CHUNK - number).padStart(String(LAST_CHUNK).length, '0');
  return `${nameChunks(vm, incarnation)}${order}`;
}

function findExpired(state: OperationsState, atMs: number) {
  return state.chunks
    .take(MAX_BATCH_DELETES)
    .filter(({ writtenAtMs }) => writtenAtMs + CHUNK_RETENTION_MS < atMs)
    .toArray();
}
