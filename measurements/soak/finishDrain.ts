/** Ends the life of a VM that has drained, and starts its replacement. */

import { findFailure } from './findFailure';
import { countWork } from './countWork';
import { replaceNode } from './startNode';
import type { SoakNode, World } from './soakWorld';

/** Time between two looks at what is still in progress, milliseconds. */
const CLOSING_MS = 50;

/** Time until the replacement starts, milliseconds. */
const REPLACE_MS = 300;

/**
 * Exits once the fleet side has drained, every result is in the table and no forwarded call waits.
 * Once the fleet side says that it has drained, nothing that would be cut may be in progress.
 */
export function finishDrain(world: World, node: SoakNode): void {
  if (!node.isUp || !node.isDrained || !node.isHandedOver) return;
  if (!node.isClosing) noteCut(world, node);
  node.isClosing = true;
  if (countWork(node) > 0) {
    world.schedule(CLOSING_MS, () => {
      finishDrain(world, node);
    });
    return;
  }
  node.isUp = false;
  world.schedule(REPLACE_MS, () => {
    replaceNode(world, node.index);
  });
}

function noteCut(world: World, { state, vm }: SoakNode): void {
  const { running, lookups } = state.operations;
  const requests = state.router.requests.size;
  const cut = requests + running.size + lookups.size;
  if (cut === 0) return;
  const detail = `${requests} requests, ${running.size} operations, ${lookups.size} look-ups`;
  findFailure(world, 'cutStreams', `${vm.id} drained with ${detail}`);
}
