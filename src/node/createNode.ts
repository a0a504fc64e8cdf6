/** The state of a VM's four sides and the reducer that joins them. */

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
import type { Node } from './createNodeReducer';
import type { Settings } from './settings';

export type RouterNode = Node<
  ReturnType<typeof createRouter>,
  ReturnType<typeof createOperations>,
  ReturnType<typeof createFleet>,
  ReturnType<typeof createPlans>
>;

/** Drives all four sides. */
export const reduceNode = createNodeReducer({
  router: reduceRouter,
  operations: reduceOperations,
  fleet: reduceFleet,
  plans: reducePlans,
});

/**
 * Creates a node that has not started.
 *
 * @param settings the VM's settings
 * @param incarnation this life of the VM
 */
export function createNode(settings: Settings, incarnation: Incarnation): RouterNode {
  const { keys, vm, limits } = settings;
  const ticketKeys = keys.previous === undefined ? [keys.current] : [keys.current, keys.previous];
  return {
    seenAtMs: undefined,
    router: createRouter({ maxRunning: limits.concurrentRequests }),
    operations: createOperations({ vm: vm.id, incarnation, ticketKeys }),
    fleet: createFleet({ answerValidMs: settings.answerValidMs }),
    plans: createPlans({ vm: vm.id, holder: `${vm.id}/${incarnation}` }),
  };
}
