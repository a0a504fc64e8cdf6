/**
 * The node's actor. It holds the state of all four components, runs their combined reducer and passes
 * each effect to its handler, in order. If the reducer throws, the state stays unchanged.
 */

import { dispatch, spawn, start, stop } from 'nact';
import type { Decision } from '../decisions/decision';
import type { NodeEffect, NodeEvent } from './nodeMessage';
import type { Send, UntimedEvent } from './untimedEvent';

export interface NodeActorOptions<State> {
  readonly reduce: (state: State, event: NodeEvent) => Decision<State, NodeEffect>;
  readonly initialState: State;
  readonly interpret: (effect: NodeEffect) => void;
  /** Monotonic clock, milliseconds. */
  readonly now: () => number;
  /** Fresh uniform 32-bit numbers. */
  readonly seed: () => number;
  /** Called when the reducer throws on an event, and when the handler of one of its effects throws. */
  readonly onFault: (fault: unknown, cause: NodeEvent) => void;
}

export interface NodeActor<State> {
  readonly send: Send;
  readonly state: () => State;
  readonly stop: () => void;
}

/**
 * Starts the actor.
 *
 * @param options the reducer, the effect interpreter, the clock and the source of randomness
 */
export function createNodeActor<State>(options: NodeActorOptions<State>): NodeActor<State> {
  const { reduce, interpret, now, seed, onFault } = options;
  let latest = options.initialState;
  let isStopped = false;
  const step = (state: State, { side, event }: UntimedEvent): State => {
    const timedEvent = { side, event: { ...event, atMs: now(), seed: seed() } } as NodeEvent;
    const reportFaults = <Value>(work: () => Value): Value | undefined => {
      try {
        return work();
      } catch (fault) {
        onFault(fault, timedEvent);
        return undefined;
      }
    };
    const decision = reportFaults(() => reduce(state, timedEvent));
    if (decision === undefined) return state;
    latest = decision.state;
    for (const effect of decision.effects) {
      reportFaults(() => {
        interpret(effect);
      });
    }
    return decision.state;
  };
  const system = start();
  const actor = spawn(
    system,
    (state: State, events: readonly UntimedEvent[]): State => events.reduce(step, state),
    'node',
    { initialState: options.initialState },
  );
  return {
    send: (...events) => {
      if (!isStopped) dispatch(actor, events);
    },
    state: () => latest,
    stop: () => {
      isStopped = true;
      stop(system);
    },
  };
}
