/** Work in progress on a node, as its shell counts it for a drain. */

import { countRunning } from '../../src/operations/countRunning';
import type { SoakNode } from './soakWorld';

/** Model requests and calls that have no answer yet. */
export function countWork(node: SoakNode): number {
  return node.state.router.requests.size + countRunning(node.state.operations);
}
