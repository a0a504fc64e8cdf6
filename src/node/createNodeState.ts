/** Creates the state of a VM's four components, and the reducer that combines them. */

import { createOperations } from '../operations/createOperations';
import { reduceOperations } from '../operations/reduceOperations';
import { createPlans } from '../plans/createPlans';
import { reducePlans } from '../plans/reducePlans';
import { createRouter } from '../requests/createRouter';
import { reduceRouter } from '../requests/reduceRouter';
import { createFleet } from '../vms/createFleet';
import { reduceFleet } from '../vms/reduceFleet';
import type { Incarnation } from '../vms/vm';
import { createNodeReducer } from './createNodeReducer';
import type { CombinedState } from './createNodeReducer';
import type { Settings } from './settings';

export type NodeState = CombinedState<
  ReturnType<typeof createRouter>,
  ReturnType<typeof createOperations>,
  ReturnType<typeof createFleet>,
  ReturnType<typeof createPlans>
>;

/** The combined reducer of all four components. */
export const reduceNode = createNodeReducer({
  router: reduceRouter,
  operations: reduceOperations,
  fleet: reduceFleet,
  plans: reducePlans,
});

/**
 * Creates the state of a node that has not started.
 *
 * @param settings the VM's settings
 * @param incarnation the VM's incarnation
 */
export function createNodeState(settings: Settings, incarnation: Incarnation): NodeState {
  const { keys, vm, limits } = settings;
  const ticketKeys = keys.previous === undefined ? [keys.current] : [keys.current, keys.previous];
  return {
    lastEventAtMs: undefined,
    router: createRouter({ maxRunning: limits.concurrentRequests }),
    operations: createOperations({ vm: vm.id, incarnation, ticketKeys }),
    fleet: createFleet({ answerValidMs: settings.answerValidMs }),
    plans: createPlans({ vm: vm.id, holder: `${vm.id}/${incarnation}` }),
  };
}
