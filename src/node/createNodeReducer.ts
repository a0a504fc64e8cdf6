/**
 * Combines the reducers of a node's four components into one. The daemon's actor, golden files and
 * long randomised runs all use this function.
 */

import type { Decision, Reducer } from '../decisions/decision';
import { dispatchEffect } from './dispatchEffect';
import type {
  NodeEffect,
  NodeEvent,
  ComponentEffects,
  ComponentEvents,
  ComponentName,
} from './nodeMessage';

/** State of each component. */
export interface CombinedState<Router, Operations, Fleet, Plans> {
  /** Time of the last event, on this VM's clock, milliseconds; undefined before the first. */
  readonly lastEventAtMs: number | undefined;
  readonly router: Router;
  readonly operations: Operations;
  readonly fleet: Fleet;
  readonly plans: Plans;
}

/** Reducer of each component. */
export interface ComponentReducers<Router, Operations, Fleet, Plans> {
  readonly router: Reducer<Router, ComponentEvents['router'], ComponentEffects['router']>;
  readonly operations: Reducer<
    Operations,
    ComponentEvents['operations'],
    ComponentEffects['operations']
  >;
  readonly fleet: Reducer<Fleet, ComponentEvents['fleet'], ComponentEffects['fleet']>;
  readonly plans: Reducer<Plans, ComponentEvents['plans'], ComponentEffects['plans']>;
}

/** The combined reducer of a node. */
export type NodeReducer<Router, Operations, Fleet, Plans> = (
  state: CombinedState<Router, Operations, Fleet, Plans>,
  event: NodeEvent,
) => Decision<CombinedState<Router, Operations, Fleet, Plans>, NodeEffect>;

/** Events between components that one event may cause before the reducer reports a loop. */
const MAX_DISPATCHED_EVENTS = 10_000;

/** Time without any event after which the VM may have been paused, milliseconds. */
const PAUSE_THRESHOLD_MS = 500;

type UntypedReducer = (state: unknown, event: unknown) => Decision<unknown, NodeEffect['effect']>;

/**
 * Builds the reducer of a node.
 *
 * @param components the reducer of each component
 * @returns a reducer that returns only the effects that the daemon's effect handlers carry out
 */
export function createNodeReducer<Router, Operations, Fleet, Plans>(
  components: ComponentReducers<Router, Operations, Fleet, Plans>,
): NodeReducer<Router, Operations, Fleet, Plans> {
  const reducers = components as Readonly<Record<ComponentName, unknown>> as Readonly<
    Record<ComponentName, UntypedReducer>
  >;
  const reduceAndDispatch: NodeReducer<Router, Operations, Fleet, Plans> = (state, first) => {
    let next = state;
    const effects: NodeEffect[] = [];
    const pending: NodeEvent[] = [first];
    for (const { side, event } of pending) {
      if (pending.length > MAX_DISPATCHED_EVENTS)
        throw new RangeError(`Sides loop on ${first.event.type}`);
      const decision = reducers[side](next[side], event);
      if (decision.state !== next[side]) next = { ...next, [side]: decision.state };
      for (const effect of decision.effects) {
        const item = { side, effect } as NodeEffect;
        const events = dispatchEffect(item, event);
        if (events === undefined) effects.push(item);
        else pending.push(...events);
      }
    }
    return { state: next, effects };
  };
  return (state, event) => {
    const { atMs } = event.event;
    const withEventTime = { ...state, lastEventAtMs: atMs };
    if (!isAfterPause(state.lastEventAtMs, atMs)) return reduceAndDispatch(withEventTime, event);
    const afterPause = reduceAndDispatch(withEventTime, createPauseEvent(event));
    const { state: next, effects } = reduceAndDispatch(afterPause.state, event);
    return { state: next, effects: [...afterPause.effects, ...effects] };
  };
}

function isAfterPause(lastEventAtMs: number | undefined, atMs: number): boolean {
  return lastEventAtMs !== undefined && atMs - lastEventAtMs > PAUSE_THRESHOLD_MS;
}

/**
 * An event that queued up during a pause may be a new request. The fleet component has to detect the
 * pause first, to stop the other components before they act on outdated state. Any event gives it the
 * current time.
 */
function createPauseEvent({ event: { atMs, seed } }: NodeEvent): NodeEvent {
  return { side: 'fleet', event: { type: 'timer-fired', timer: 'pause', atMs, seed } };
}
