/** What gets through between the parts of a run, and how long it takes. */

import type { SoakNode, World } from './soakWorld';

/** Mean of the random part of a delay, milliseconds. */
const JITTER_MS = 2;

/** Share of messages that are held up while the network is slow, and by how much, milliseconds. */
const HELD_UP_SHARE = 0.3;
const HELD_UP_MS = 4000;

/** The same for a datagram, which no sender repeats: it waits in buffers at the most. */
export const HELD_UP_DATAGRAM_MS = 1000;

/**
 * One-way delay of a message on a connection, which may be held up for long.
 *
 * @param heldUpMs longest time by which it is held up while the network is slow
 */
export function drawDelay(world: World, heldUpMs = HELD_UP_MS): number {
  const delay = 0.5 + world.random.exponential(JITTER_MS);
  const isSlow = world.nowMs < world.until.slowNetwork && world.random.next() < HELD_UP_SHARE;
  return isSlow ? delay + world.random.next() * heldUpMs : delay;
}

/** Whether the partition is between two nodes. */
export function isCut(world: World, from: SoakNode, to: SoakNode): boolean {
  if (world.nowMs >= world.until.partition) return false;
  return world.cutNodes.has(from.index) !== world.cutNodes.has(to.index);
}

/** Whether the table can't be reached from a node. */
export function isStoreCut(world: World, node: SoakNode): boolean {
  if (world.nowMs < world.until.storeDown) return true;
  return world.nowMs < world.until.storeCut && world.storeCutNodes.has(node.index);
}
