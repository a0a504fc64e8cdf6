/** How long a stream may be silent before it counts as stalled: by its own pace. */

import {
  FIRST_TOKEN_FACTOR,
  FIRST_TOKEN_STALL_MS,
  RESUME_STALL_MS,
  STALL_DEVIATIONS,
  STALL_FLOOR_MS,
} from './constants';
import { isAwaitingFirstToken } from './isAwaitingFirstToken';
import type { RunningRequest } from './runningRequest';

/** @returns milliseconds since the last token, or since the stream was opened */
export function allowedSilenceMs(running: RunningRequest): number {
  if (isAwaitingFirstToken(running)) {
    if (running.deliveredCount > 0) return RESUME_STALL_MS + 2 * running.expectedFirstMs;
    return Math.max(FIRST_TOKEN_STALL_MS, FIRST_TOKEN_FACTOR * running.expectedFirstMs);
  }
  if (running.paceMs === 0) return FIRST_TOKEN_STALL_MS;
  const lateMs = running.paceMs + STALL_DEVIATIONS * running.paceDeviationMs;
  return Math.max(STALL_FLOOR_MS, lateMs);
}
