/**
 * Joins the four sides of a node into one reducer. The daemon's actor, golden files and long
 * randomised runs all drive this one function.
 */

import type { Decision, Reducer } from '../decisions/decision';
import { crossEffect } from './crossEffect';
import type { NodeEffect, NodeEvent, SideEffects, SideEvents, SideName } from './nodeMessage';

/** State of each side. */
export interface Node<Router, Operations, Fleet, Plans> {
  readonly router: Router;
  readonly operations: Operations;
  readonly fleet: Fleet;
  readonly plans: Plans;
}

/** Reducer of each side. */
export interface Sides<Router, Operations, Fleet, Plans> {
  readonly router: Reducer<Router, SideEvents['router'], SideEffects['router']>;
  readonly operations: Reducer<Operations, SideEvents['operations'], SideEffects['operations']>;
  readonly fleet: Reducer<Fleet, SideEvents['fleet'], SideEffects['fleet']>;
  readonly plans: Reducer<Plans, SideEvents['plans'], SideEffects['plans']>;
}

/** Crossings that one event may cause before the reducer calls it a loop. */
const MAX_CROSSINGS = 10_000;

type SideReducer = (state: unknown, event: unknown) => Decision<unknown, NodeEffect['effect']>;

/**
 * Builds the reducer of a whole node.
 *
 * @param sides the reducer of each side
 * @returns a reducer whose effects are for the shell alone
 */
export function createNodeReducer<Router, Operations, Fleet, Plans>(
  sides: Sides<Router, Operations, Fleet, Plans>,
): (
  state: Node<Router, Operations, Fleet, Plans>,
  event: NodeEvent,
) => Decision<Node<Router, Operations, Fleet, Plans>, NodeEffect> {
  const reducers = sides as Readonly<Record<SideName, unknown>> as Readonly<
    Record<SideName, SideReducer>
  >;
  return (state, first) => {
    let next = state;
    const effects: NodeEffect[] = [];
    const pending: NodeEvent[] = [first];
    for (const { side, event } of pending) {
      if (pending.length > MAX_CROSSINGS) throw new RangeError(`Sides loop on ${first.event.type}`);
      const decision = reducers[side](next[side], event);
      if (decision.state !== next[side]) next = { ...next, [side]: decision.state };
      for (const effect of decision.effects) {
        const item = { side, effect } as NodeEffect;
        const events = crossEffect(item, event);
        if (events === undefined) effects.push(item);
        else pending.push(...events);
      }
    }
    return { state: next, effects };
  };
}
