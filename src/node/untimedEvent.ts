/** Events on their way to the node's actor, which adds the time and the randomness. */

import type { Occurrence } from '../decisions/primitive';
import type { SideEvents, SideName } from './nodeMessage';

type WithoutOccurrence<Event> = Event extends unknown ? Omit<Event, keyof Occurrence> : never;

/** An event for one side, without its occurrence. */
export type UntimedEvent = {
  readonly [Side in SideName]: {
    readonly side: Side;
    readonly event: WithoutOccurrence<SideEvents[Side]>;
  };
}[SideName];

/** Hands events to the node, in order. */
export type Send = (...events: readonly UntimedEvent[]) => void;
