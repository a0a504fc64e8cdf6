/**
 * Events and effects of a whole node: each belongs to one of its four sides. The router serves model
 * requests, operations call plain services, the fleet keeps membership and configuration, and plans
 * carry out what operators confirm.
 */

import type { OperationEffect, OperationEvent } from '../operations/operationMessage';
import type { PlanEffect, PlanEvent } from '../plans/planMessage';
import type { RouterEffect, RouterEvent } from '../requests/routerMessage';
import type { FleetEffect, FleetEvent } from '../vms/fleetMessage';

/** Events of each side. */
export interface SideEvents {
  readonly router: RouterEvent;
  readonly operations: OperationEvent;
  readonly fleet: FleetEvent;
  readonly plans: PlanEvent;
}

/** Effects of each side. */
export interface SideEffects {
  readonly router: RouterEffect;
  readonly operations: OperationEffect;
  readonly fleet: FleetEffect;
  readonly plans: PlanEffect;
}

export type SideName = keyof SideEvents;

/** An event for one side of the node. */
export type NodeEvent = {
  readonly [Side in SideName]: { readonly side: Side; readonly event: SideEvents[Side] };
}[SideName];

/** An effect of one side that the shell has to carry out. */
export type NodeEffect = {
  readonly [Side in SideName]: { readonly side: Side; readonly effect: SideEffects[Side] };
}[SideName];
