/** Those who wait for answers of one node. */

import { createPendingCalls } from '../adapters/createPendingCalls';
import type { Waiters } from '../adapters/exchange';

/** Starts with nobody waiting. */
export function createWaiting(): Waiters {
  return {
    responses: new Set(),
    streams: new Map(),
    calls: createPendingCalls(),
    tickets: createPendingCalls(),
    addresses: createPendingCalls(),
    operators: createPendingCalls(),
  };
}
