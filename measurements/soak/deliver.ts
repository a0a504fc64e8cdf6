/** Hands an event to a node: the one place where its reducer runs. */

import { findFailure } from './findFailure';
import { carryOut } from './carryOut';
import type { NodeEvent } from '../../src/node/nodeMessage';
import type { SoakNode, Untimed, World } from './soakWorld';

/** Clock of a node at its start, milliseconds. */
const CLOCK_START_MS = 1000;

/** A paused node gets the event when it wakes; a dead one never. */
export function deliver(world: World, node: SoakNode, { side, event }: Untimed): void {
  if (!node.isUp) return;
  if (world.nowMs < node.pausedUntilMs) {
    world.schedule(node.pausedUntilMs - world.nowMs, () => {
      deliver(world, node, { side, event } as Untimed);
    });
    return;
  }
  world.events += 1;
  const atMs = CLOCK_START_MS + world.nowMs - node.startedAtMs;
  const seed = world.random.integer(0x1_0000_0000);
  const timed = { side, event: { ...event, atMs, seed } } as NodeEvent;
  try {
    const decision = node.reduce(node.state, timed);
    node.state = decision.state;
    for (const effect of decision.effects) carryOut(world, node, effect);
  } catch (fault) {
    findFailure(world, 'violations', `${node.vm.id} ${side} ${event.type}: ${String(fault)}`);
  }
  watchRevision(world, node);
}

function watchRevision(world: World, node: SoakNode): void {
  const { revision } = node.state.operations.configuration;
  if (revision < node.revision) {
    findFailure(world, 'configReverts', `${node.vm.id} from ${node.revision} to ${revision}`);
  }
  node.revision = revision;
}
