/** Creates the effects that end a request with a refusal. */

import type { Refusal } from '../outcomes/outcome';
import type { RequestId } from './request';
import type { RouterEffect } from './routerMessage';

/** @returns the final answer and an increment of its counter */
export function createRefusalEffects(
  request: RequestId,
  refusal: Refusal,
): readonly RouterEffect[] {
  const labels = { outcome: refusal.outcome, reason: refusal.reason };
  return [
    { type: 'refuse', request, refusal },
    { type: 'count', counter: 'requests_refused', by: 1, labels },
  ];
}
