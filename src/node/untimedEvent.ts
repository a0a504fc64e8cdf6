/** Events sent to the node's actor, which adds their time and seed. */

import type { Occurrence } from '../decisions/primitive';
import type { ComponentEvents, ComponentName } from './nodeMessage';

type WithoutOccurrence<Event> = Event extends unknown ? Omit<Event, keyof Occurrence> : never;

/** An event for one component, without its occurrence. */
export type UntimedEvent = {
  readonly [Component in ComponentName]: {
    readonly side: Component;
    readonly event: WithoutOccurrence<ComponentEvents[Component]>;
  };
}[ComponentName];

/** Sends events to the node, in order. */
export type Send = (...events: readonly UntimedEvent[]) => void;
