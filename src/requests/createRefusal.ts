/** Creates the refusal of a request with an outcome that reflects whether work may have run. */

import type { Refusal } from '../outcomes/outcome';
import type { RunningRequest } from './runningRequest';

/**
 * The outcome is `not-run` only if no attempt can have executed any work.
 *
 * @param running the request
 * @param reason stable reason code
 * @param detail human-readable explanation
 */
export function createRefusal(running: RunningRequest, reason: string, detail: string): Refusal {
  if (!running.mayHaveRun) return { outcome: 'not-run', reason, detail };
  return { outcome: running.hasRun ? 'failed' : 'unknown', reason, detail };
}
