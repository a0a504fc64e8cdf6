/**
 * The shape of every decision of the router: a pure reducer takes a state and an event and gives the
 * next state with the effects to carry out. Time, randomness and ids arrive in the event, so that the
 * same decisions run under real sockets, golden files and a virtual clock.
 */

/** The next state, and what the caller has to carry out, in order. */
export interface Decision<State, Effect> {
  readonly state: State;
  readonly effects: readonly Effect[];
}

/** An event or effect: a tagged union member. */
export interface Tagged {
  readonly type: string;
}

/** A pure step from one state to the next. */
export type Reducer<State, Event extends Tagged, Effect> = (
  state: State,
  event: Event,
) => Decision<State, Effect>;

/** One handler for each kind of event. */
export type Handlers<State, Event extends Tagged, Effect> = {
  readonly [Type in Event['type']]: (
    state: State,
    event: Extract<Event, { readonly type: Type }>,
  ) => Decision<State, Effect>;
};
