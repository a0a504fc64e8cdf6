/** Counts the work that a drain waits for. */

import type { Waiters } from '../adapters/exchange';
import type { RouterNode } from './createNode';

/**
 * Counts what is in progress: requests, calls whether their callers wait here, there or no more, and
 * responses whose end has not been handed to the system yet.
 *
 * @param waiting those who wait
 * @param node the state of the node
 */
export function countWork(waiting: Waiters, node: RouterNode): number {
  const streams = Math.max(waiting.streams.size, node.router.requests.size);
  const calls = Math.max(waiting.calls.size(), node.operations.running.size);
  return Math.max(streams + calls, waiting.responses.size);
}
