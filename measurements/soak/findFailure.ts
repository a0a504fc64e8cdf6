/** Notes something that must not be. */

import type { failures } from './findings';
import type { World } from './soakWorld';

/** Marks a failure in the trace. */
export const FAILURE_MARK = '!';

/** Counts the failure and says what it was. */
export function findFailure(
  world: World,
  failure: (typeof failures)[number],
  detail: string,
): void {
  world.findings[failure] += 1;
  world.trace(`${FAILURE_MARK} ${failure}: ${detail}`);
}
