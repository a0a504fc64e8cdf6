/** Retains the result of a finished operation in bounded memory and queues it for the table. */

import type { List } from 'immutable';
import { chain } from './chain';
import { evictSequence } from './evictSequence';
import type { CallResult } from './operationMessage';
import { MAX_RETAINED_BODY_BYTES, MAX_TOMBSTONES, RETENTION_MS } from './operationLimits';
import type { OperationKey, OperationsState, RetainedOperation } from './operationsState';
import { scheduleRecording } from './scheduleRecording';
import { omitLargeBody } from './omitLargeBody';
import { step, type OperationsStep } from './step';

/** Approximate size of a retained operation without its texts, bytes. */
const OVERHEAD_BYTES = 512;

/**
 * Retains the result and evicts the oldest ones above the limits. A tombstone is not queued for the
 * table, so a flood of refusals does not push out results.
 */
export function retainResult(
  state: OperationsState,
  finished: Omit<RetainedOperation, 'bytes'>,
): OperationsStep {
  const { key, isTombstone, finishedAtMs } = finished;
  const result = omitLargeBody(finished.result, MAX_RETAINED_BODY_BYTES);
  const bytes = OVERHEAD_BYTES + 2 * key.length + countBytes(result);
  const next = {
    ...state,
    retained: state.retained.set(key, { ...finished, result, bytes }),
    finished: isTombstone ? state.finished : state.finished.push(key),
    tombstones: isTombstone ? state.tombstones.push(key) : state.tombstones,
    retainedBytes: state.retainedBytes + bytes,
    unrecorded: isTombstone ? state.unrecorded : queueForTable(state, key),
    isHandedOver: isTombstone && state.isHandedOver,
  };
  return chain(next, (after) => step(evictOldest(after, finishedAtMs)), scheduleRecording);
}

/** Drops the oldest entry if an outage of the table fills the queue; memory evicts its result as well. */
function queueForTable(state: OperationsState, key: OperationKey): List<OperationKey> {
  const queue = state.unrecorded.push(key);
  return queue.size > state.options.maxRetained ? queue.shift() : queue;
}

function countBytes(result: CallResult): number {
  return result.type === 'answered'
    ? Buffer.byteLength(result.answer.body)
    : result.refusal.detail.length;
}

function evictOldest(state: OperationsState, atMs: number): OperationsState {
  let next = state;
  for (;;) {
    const queue = chooseQueue(next, atMs);
    const key = queue === undefined ? undefined : next[queue].first();
    if (queue === undefined || key === undefined) return next;
    next = evict({ ...next, [queue]: next[queue].shift() }, key);
  }
}

/** Returns the queue whose oldest operation is to be evicted, if any. */
function chooseQueue(state: OperationsState, atMs: number): 'tombstones' | 'finished' | undefined {
  const isFull = state.retainedBytes > state.options.maxRetainedBytes;
  if (isExpired(state, state.tombstones.first(), atMs) || state.tombstones.size > MAX_TOMBSTONES)
    return 'tombstones';
  if (isFull && !state.tombstones.isEmpty()) return 'tombstones';
  const isOverLimit = isFull || state.finished.size > state.options.maxRetained;
  return isOverLimit || isExpired(state, state.finished.first(), atMs) ? 'finished' : undefined;
}

function isExpired(state: OperationsState, key: OperationKey | undefined, atMs: number): boolean {
  const oldest = key === undefined ? undefined : state.retained.get(key);
  return oldest !== undefined && oldest.finishedAtMs + RETENTION_MS < atMs;
}

function evict(state: OperationsState, key: OperationKey): OperationsState {
  const oldest = state.retained.get(key);
  if (oldest === undefined) throw new RangeError(`Operation ${key} is not retained`);
  const next = {
    ...state,
    retained: state.retained.delete(key),
    retainedBytes: state.retainedBytes - oldest.bytes,
  };
  const { origin } = oldest;
  return origin.type === 'ticket' ? evictSequence(next, origin.serial, origin.sequence) : next;
}
