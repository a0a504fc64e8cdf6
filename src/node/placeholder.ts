/** Stands in for the sides of the node that have not landed; goes away with them. */

import type { Reducer } from '../decisions/decision';
import type { PlanEffect, PlanEvent } from '../plans/planMessage';
import type { FleetEffect, FleetEvent } from '../vms/fleetMessage';

export interface Placeholder {
  readonly isPlaceholder: true;
}

export function createPlaceholder(): Placeholder {
  return { isPlaceholder: true };
}

export const reducePlaceholderFleet: Reducer<Placeholder, FleetEvent, FleetEffect> = (state) => ({
  state,
  effects: [],
});

export const reducePlaceholderPlans: Reducer<Placeholder, PlanEvent, PlanEffect> = (state) => ({
  state,
  effects: [],
});
