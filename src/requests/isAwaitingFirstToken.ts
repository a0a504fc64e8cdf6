/** Tells whether the current attempt has brought no token yet. */

import type { RunningRequest } from './runningRequest';

export function isAwaitingFirstToken(running: RunningRequest): boolean {
  return running.deliveredCount === running.deliveredBefore;
}
