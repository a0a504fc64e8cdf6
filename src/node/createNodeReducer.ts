/**
 * Joins the four sides of a node into one reducer. The daemon's actor, golden files and long
 * randomised runs all drive this one function.
 */

import type { Decision, Reducer } from '../decisions/decision';
import { crossEffect } from './crossEffect';
import type { NodeEffect, NodeEvent, SideEffects, SideEvents, SideName } from './nodeMessage';

/** State of each side. */
export interface Node<Router, Operations, Fleet, Plans> {
  /** Time of the last event, on this VM's clock, milliseconds; undefined before the first. */
  readonly seenAtMs: number | undefined;
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

/** A step of a whole node. */
export type NodeReducer<Router, Operations, Fleet, Plans> = (
  state: Node<Router, Operations, Fleet, Plans>,
  event: NodeEvent,
) => Decision<Node<Router, Operations, Fleet, Plans>, NodeEffect>;

/** Crossings that one event may cause before the reducer calls it a loop. */
const MAX_CROSSINGS = 10_000;

/** Time without any event after which the VM may have been paused, milliseconds. */
const GAP_MS = 500;

type SideReducer = (state: unknown, event: unknown) => Decision<unknown, NodeEffect['effect']>;

/**
 * Builds the reducer of a whole node.
 *
 * @param sides the reducer of each side
 * @returns a reducer whose effects are for the shell alone
 */
export function createNodeReducer<Router, Operations, Fleet, Plans>(
  sides: Sides<Router, Operations, Fleet, Plans>,
): NodeReducer<Router, Operations, Fleet, Plans> {
  const reducers = sides as Readonly<Record<SideName, unknown>> as Readonly<
    Record<SideName, SideReducer>
  >;
  const settle: NodeReducer<Router, Operations, Fleet, Plans> = (state, first) => {
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
  return (state, event) => {
    const { atMs } = event.event;
    const seen = { ...state, seenAtMs: atMs };
    if (!isAfterGap(state.seenAtMs, atMs)) return settle(seen, event);
    const woken = settle(seen, wakeOf(event));
    const { state: next, effects } = settle(woken.state, event);
    return { state: next, effects: [...woken.effects, ...effects] };
  };
}

function isAfterGap(seenAtMs: number | undefined, atMs: number): boolean {
  return seenAtMs !== undefined && atMs - seenAtMs > GAP_MS;
}

/**
 * What queued up during a pause may be a new request. The fleet side has to see the pause first, so
 * that it can stop the other sides before they act on what they knew then; any event shows it the time.
 */
function wakeOf({ event: { atMs, seed } }: NodeEvent): NodeEvent {
  return { side: 'fleet', event: { type: 'timer-fired', timer: 'pause', atMs, seed } };
}
