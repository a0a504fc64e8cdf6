/** Creates the registry of callers that wait for results of a node. */

import { createPendingCalls } from '../adapters/createPendingCalls';
import type { Waiters } from '../adapters/exchange';

/** Creates an empty registry. */
export function createWaiters(): Waiters {
  return {
    responses: new Set(),
    streams: new Map(),
    calls: createPendingCalls(),
    tickets: createPendingCalls(),
    addresses: createPendingCalls(),
    operators: createPendingCalls(),
  };
}
