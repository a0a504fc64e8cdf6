/** Words the refusal of a request truthfully. */

import type { Refusal } from '../outcomes/outcome';
import type { RunningRequest } from './runningRequest';

/**
 * Says `not-run` only where no attempt can have run anything.
 *
 * @param running the request
 * @param reason stable reason
 * @param detail for people
 */
export function refusalOf(running: RunningRequest, reason: string, detail: string): Refusal {
  if (!running.mayHaveRun) return { outcome: 'not-run', reason, detail };
  return { outcome: running.hasRun ? 'failed' : 'unknown', reason, detail };
}
