/** Counts the work that a drain waits for. */

import type { Waiters } from '../adapters/exchange';
import type { NodeState } from './createNodeState';

/**
 * Counts the work in progress: requests; calls, whether their callers wait on this VM, on another one
 * or no longer; and responses whose end has not been handed to the operating system yet.
 *
 * @param waiting the callers that wait for a result
 * @param node the state of the node
 */
export function countWork(waiting: Waiters, node: NodeState): number {
  const streams = Math.max(waiting.streams.size, node.router.requests.size);
  const calls = Math.max(waiting.calls.size(), node.operations.running.size);
  return Math.max(streams + calls, waiting.responses.size);
}
