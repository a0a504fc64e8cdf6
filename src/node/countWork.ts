/** Counts the work that a drain waits for. */

import type { Waiting } from '../adapters/exchange';
import type { RouterNode } from './createNode';

/**
 * Counts what is in progress: callers who wait here, and operations that run for other VMs.
 *
 * @param waiting those who wait
 * @param node the state of the node
 */
export function countWork(waiting: Waiting, node: RouterNode): number {
  const { running, isDraining, isHandedOver } = node.operations;
  const toHandOver = isDraining && !isHandedOver ? 1 : 0;
  return (
    Math.max(waiting.streams.size, node.router.requests.size) +
    waiting.calls.size() +
    running.size +
    toHandOver
  );
}
