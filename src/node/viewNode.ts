/** Views of a node for operators. */

import type { RouterNode } from './createNode';

type View = (node: RouterNode, argument: string) => unknown;

const views: Readonly<Record<string, View>> = {
  status: ({ router }) => ({
    isAccepting: router.isAccepting,
    reason: router.refusalReason,
    revision: router.configuration.revision,
    requestsRunning: router.requests.size,
  }),
};

/**
 * Gives one view, JSON-ready.
 *
 * @param node the state of the node
 * @param name which view
 * @param argument what it is about, where it takes one
 */
export function viewNode(node: RouterNode, name: string, argument: string): unknown {
  return views[name]?.(node, argument);
}
