/** Turns a lookup table of handlers into a reducer. */

import type { Decision, Handlers, Reducer, Tagged } from './decision';

/**
 * Builds a reducer that hands each event to the handler of its type.
 *
 * @param handlers one handler for each type of event
 * @returns a pure reducer
 */
export function createReducer<State, Event extends Tagged, Effect>(
  handlers: Handlers<State, Event, Effect>,
): Reducer<State, Event, Effect> {
  const table = handlers as unknown as Readonly<
    Record<string, (state: State, event: Event) => Decision<State, Effect>>
  >;
  return (state, event) => {
    const handler = table[event.type];
    if (handler === undefined) throw new TypeError(`No handler for event ${event.type}`);
    return handler(state, event);
  };
}
