/** Keeps the result of a finished operation in bounded memory, and queues it for the table. */

import type { List } from 'immutable';
import { chain } from './chain';
import { forgetSequence } from './forgetSequence';
import type { CallResult } from './operationMessage';
import { MAX_REMEMBERED_BODY_BYTES, MAX_SHUT, RETENTION_MS } from './operationLimits';
import type { OperationKey, OperationsState, RememberedOperation } from './operationsState';
import { scheduleRecording } from './scheduleRecording';
import { shortenResult } from './shortenResult';
import { step, type OperationsStep } from './step';

/** Bytes that a remembered operation takes besides its texts, roughly. */
const OVERHEAD_BYTES = 512;

/**
 * Remembers the result and forgets the oldest ones past the limits. A number that was shut by a
 * refusal does not go to the table, so that a flood of refusals pushes no results out.
 */
export function rememberResult(
  state: OperationsState,
  finished: Omit<RememberedOperation, 'bytes'>,
): OperationsStep {
  const { key, isShut, finishedAtMs } = finished;
  const result = shortenResult(finished.result, MAX_REMEMBERED_BODY_BYTES);
  const bytes = OVERHEAD_BYTES + 2 * key.length + countBytes(result);
  const next = {
    ...state,
    remembered: state.remembered.set(key, { ...finished, result, bytes }),
    finished: isShut ? state.finished : state.finished.push(key),
    shut: isShut ? state.shut.push(key) : state.shut,
    rememberedBytes: state.rememberedBytes + bytes,
    unrecorded: isShut ? state.unrecorded : queueForTable(state, key),
    isHandedOver: isShut && state.isHandedOver,
  };
  return chain(next, (after) => step(forgetOldest(after, finishedAtMs)), scheduleRecording);
}

/** A queue that an outage lets grow drops its oldest, which memory forgets as well. */
function queueForTable(state: OperationsState, key: OperationKey): List<OperationKey> {
  const queue = state.unrecorded.push(key);
  return queue.size > state.options.maxRemembered ? queue.shift() : queue;
}

function countBytes(result: CallResult): number {
  return result.type === 'answered'
    ? Buffer.byteLength(result.answer.body)
    : result.refusal.detail.length;
}

function forgetOldest(state: OperationsState, atMs: number): OperationsState {
  let next = state;
  for (;;) {
    const queue = chooseQueue(next, atMs);
    const key = queue === undefined ? undefined : next[queue].first();
    if (queue === undefined || key === undefined) return next;
    next = forget({ ...next, [queue]: next[queue].shift() }, key);
  }
}

/** The queue whose oldest operation has to go, if any. */
function chooseQueue(state: OperationsState, atMs: number): 'shut' | 'finished' | undefined {
  const isFull = state.rememberedBytes > state.options.maxRememberedBytes;
  if (isOld(state, state.shut.first(), atMs) || state.shut.size > MAX_SHUT) return 'shut';
  if (isFull && !state.shut.isEmpty()) return 'shut';
  const isOver = isFull || state.finished.size > state.options.maxRemembered;
  return isOver || isOld(state, state.finished.first(), atMs) ? 'finished' : undefined;
}

function isOld(state: OperationsState, key: OperationKey | undefined, atMs: number): boolean {
  const oldest = key === undefined ? undefined : state.remembered.get(key);
  return oldest !== undefined && oldest.finishedAtMs + RETENTION_MS < atMs;
}

function forget(state: OperationsState, key: OperationKey): OperationsState {
  const oldest = state.remembered.get(key);
  if (oldest === undefined) throw new RangeError(`Operation ${key} is not remembered`);
  const next = {
    ...state,
    remembered: state.remembered.delete(key),
    rememberedBytes: state.rememberedBytes - oldest.bytes,
  };
  const { origin } = oldest;
  return origin.type === 'ticket' ? forgetSequence(next, origin.serial, origin.sequence) : next;
}
