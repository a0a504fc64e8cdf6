/** Tells whether the current attempt has produced no token yet. */

import type { RunningRequest } from './runningRequest';

export function isAwaitingFirstToken(running: RunningRequest): boolean {
  return running.deliveredCount === running.deliveredBefore;
}
