/**
 * Types of the router's reducers. A pure reducer maps a state and an event to the next state and the
 * effects to execute. Time, randomness and ids arrive in the event, so the same reducers run with real
 * sockets, in golden-file tests and under a virtual clock.
 */

/** The next state, and the effects that the caller executes in order. */
export interface Decision<State, Effect> {
  readonly state: State;
  readonly effects: readonly Effect[];
}

/** A member of a tagged union of events or effects. */
export interface Tagged {
  readonly type: string;
}

/** A pure function from a state and an event to a decision. */
export type Reducer<State, Event extends Tagged, Effect> = (
  state: State,
  event: Event,
) => Decision<State, Effect>;

/** One handler for each type of event. */
export type Handlers<State, Event extends Tagged, Effect> = {
  readonly [Type in Event['type']]: (
    state: State,
    event: Extract<Event, { readonly type: Type }>,
  ) => Decision<State, Effect>;
};
