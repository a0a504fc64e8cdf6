/** Keeps the result of a finished operation in bounded memory, and queues it for the table. */

import { chain } from './chain';
import { forgetSequence } from './forgetSequence';
import type { CallResult } from './operationMessage';
import { RETENTION_MS } from './operationLimits';
import type { OperationKey, OperationsState, RememberedOperation } from './operationsState';
import { scheduleRecording } from './scheduleRecording';
import { step, type OperationsStep } from './step';

/** Bytes that a remembered operation takes besides its texts, roughly. */
const OVERHEAD_BYTES = 256;

/** Remembers the result and forgets the oldest ones past the limits. */
export function rememberResult(
  state: OperationsState,
  finished: Omit<RememberedOperation, 'bytes'>,
): OperationsStep {
  const bytes = OVERHEAD_BYTES + 2 * finished.key.length + countBytes(finished.result);
  const next = {
    ...state,
    remembered: state.remembered.set(finished.key, { ...finished, bytes }),
    finished: state.finished.push(finished.key),
    rememberedBytes: state.rememberedBytes + bytes,
    unrecorded: state.unrecorded.push(finished.key),
    isHandedOver: false,
  };
  return chain(
    next,
    (after) => step(forgetOldest(after, finished.finishedAtMs)),
    scheduleRecording,
  );
}

function countBytes(result: CallResult): number {
  return result.type === 'answered'
    ? Buffer.byteLength(result.answer.body)
    : result.refusal.detail.length;
}

function forgetOldest(state: OperationsState, atMs: number): OperationsState {
  let next = state;
  for (;;) {
    const key = next.finished.first();
    const oldest = key === undefined ? undefined : next.remembered.get(key);
    if (key === undefined || oldest === undefined) return next;
    const isOver =
      next.finished.size > next.options.maxRemembered ||
      next.rememberedBytes > next.options.maxRememberedBytes ||
      oldest.finishedAtMs + RETENTION_MS < atMs;
    if (!isOver) return next;
    next = forget(next, key, oldest);
  }
}

function forget(
  state: OperationsState,
  key: OperationKey,
  oldest: RememberedOperation,
): OperationsState {
  const next = {
    ...state,
    remembered: state.remembered.delete(key),
    finished: state.finished.shift(),
    rememberedBytes: state.rememberedBytes - oldest.bytes,
  };
  const { origin } = oldest;
  return origin.type === 'ticket' ? forgetSequence(next, origin.serial, origin.sequence) : next;
}
