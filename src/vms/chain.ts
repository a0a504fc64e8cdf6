/** Composes the steps of one decision: each step receives the state that the previous one returned. */

import type { Fleet, FleetDecision } from './fleet';
import type { FleetEffect } from './fleetMessage';

export type FleetStep = (fleet: Fleet) => FleetDecision;

/**
 * Runs steps in order and collects their effects.
 *
 * @param fleet the state before the first step
 * @param steps pure steps
 */
export function chain(fleet: Fleet, ...steps: readonly FleetStep[]): FleetDecision {
  let state = fleet;
  const effects: FleetEffect[] = [];
  for (const step of steps) {
    const decision = step(state);
    state = decision.state;
    for (const effect of decision.effects) effects.push(effect);
  }
  return { state, effects };
}
