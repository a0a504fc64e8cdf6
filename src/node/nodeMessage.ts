/**
 * Events and effects of a node. Each belongs to one of its four components, named in the field `side`:
 * the router serves model requests, operations call plain services, the fleet keeps membership and
 * configuration, and plans carry out changes that operators confirm.
 */

import type { OperationEffect, OperationEvent } from '../operations/operationMessage';
import type { PlanEffect, PlanEvent } from '../plans/planMessage';
import type { RouterEffect, RouterEvent } from '../requests/routerMessage';
import type { FleetEffect, FleetEvent } from '../vms/fleetMessage';

/** Events of each component. */
export interface ComponentEvents {
  readonly router: RouterEvent;
  readonly operations: OperationEvent;
  readonly fleet: FleetEvent;
  readonly plans: PlanEvent;
}

/** Effects of each component. */
export interface ComponentEffects {
  readonly router: RouterEffect;
  readonly operations: OperationEffect;
  readonly fleet: FleetEffect;
  readonly plans: PlanEffect;
}

export type ComponentName = keyof ComponentEvents;

/** An event for one component of the node. */
export type NodeEvent = {
  readonly [Component in ComponentName]: {
    readonly side: Component;
    readonly event: ComponentEvents[Component];
  };
}[ComponentName];

/** An effect of one component, for an effect handler to carry out. */
export type NodeEffect = {
  readonly [Component in ComponentName]: {
    readonly side: Component;
    readonly effect: ComponentEffects[Component];
  };
}[ComponentName];
