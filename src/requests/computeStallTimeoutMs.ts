/** Computes after how long a silence a stream counts as stalled, from its own token intervals. */

import {
  FIRST_TOKEN_STALL_FACTOR,
  FIRST_TOKEN_STALL_MS,
  RESUME_STALL_MS,
  STALL_DEVIATIONS,
  MIN_STALL_MS,
} from './constants';
import { isAwaitingFirstToken } from './isAwaitingFirstToken';
import type { RunningRequest } from './runningRequest';

/** @returns milliseconds after the last token, or after opening the stream */
export function computeStallTimeoutMs(running: RunningRequest): number {
  if (isAwaitingFirstToken(running)) {
    if (running.deliveredCount > 0) return RESUME_STALL_MS + 2 * running.expectedFirstTokenMs;
    return Math.max(FIRST_TOKEN_STALL_MS, FIRST_TOKEN_STALL_FACTOR * running.expectedFirstTokenMs);
  }
  if (running.meanTokenIntervalMs === 0) return FIRST_TOKEN_STALL_MS;
  const lateMs = running.meanTokenIntervalMs + STALL_DEVIATIONS * running.tokenIntervalDeviationMs;
  return Math.max(MIN_STALL_MS, lateMs);
}
