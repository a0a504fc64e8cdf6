/** Starts VMs, and replacements under the same id and address with a higher incarnation. */

import { createNodeReducer } from '../../src/node/createNodeReducer';
import { createOperations } from '../../src/operations/createOperations';
import { reduceOperations } from '../../src/operations/reduceOperations';
import { createPlans } from '../../src/plans/createPlans';
import { reducePlans } from '../../src/plans/reducePlans';
import { createRouter } from '../../src/requests/createRouter';
import { reduceRouter } from '../../src/requests/reduceRouter';
import { createFleet } from '../../src/vms/createFleet';
import { reduceFleet } from '../../src/vms/reduceFleet';
import type { Vm } from '../../src/vms/vm';
import { deliver } from './deliver';
import type { SoakNode, World } from './soakWorld';

/** Wall clock at the start of a run, milliseconds. */
export const WALL_START_MS = 1_700_000_000_000;

/** Time for which addresses stay good, milliseconds. */
const ANSWER_VALID_MS = 1500;

/** Time between two ticks of the plans side, milliseconds. */
const PLAN_TICK_MS = 500;

const domains = ['f1', 'f2', 'f3'];

/** Puts a fresh life of the VM in its place and starts it. */
export function replaceNode(world: World, index: number): SoakNode {
  const node = createNode(world, index);
  world.nodes[index] = node;
  const seeds = world.nodes.slice(0, 3).map(({ vm }) => vm.addresses.gossip);
  deliver(world, node, { side: 'fleet', event: { type: 'started', vm: node.vm, seeds } });
  tickPlans(world, node);
  return node;
}

function createNode(world: World, index: number): SoakNode {
  const vm = createVm(index, WALL_START_MS + Math.floor(world.nowMs));
  const sides = {
    router: reduceRouter,
    operations: reduceOperations,
    fleet: reduceFleet,
    plans: reducePlans,
  };
  return {
    index,
    vm,
    startedAtMs: world.nowMs,
    reduce: createNodeReducer(world.breakSides(sides)),
    state: {
      seenAtMs: undefined,
      router: createRouter(),
      operations: createOperations({
        vm: vm.id,
        incarnation: vm.incarnation,
        ticketKeys: ['soak'],
        maxRetained: world.remembered,
      }),
      fleet: createFleet({ answerValidMs: ANSWER_VALID_MS }),
      plans: createPlans({ holder: `${vm.id}/${vm.incarnation}`, vm: vm.id }),
    },
    isUp: true,
    pausedUntilMs: 0,
    isDraining: false,
    isHandedOver: false,
    isDrained: false,
    isClosing: false,
    timers: new Map(),
    waiting: new Map(),
    revision: 0,
  };
}

function createVm(index: number, incarnation: number): Vm {
  const host = `10.0.0.${index + 1}`;
  return {
    id: `vm${index + 1}`,
    incarnation,
    failureDomain: domains[index % domains.length] ?? '',
    region: 'r',
    addresses: {
      http: { host, port: 8080 },
      peer: { host, port: 8081 },
      gossip: { host, port: 8082 },
    },
  };
}

function tickPlans(world: World, node: SoakNode): void {
  if (!node.isUp) return;
  const wallMs = WALL_START_MS + Math.floor(world.nowMs);
  const id = `tick-${node.index}-${world.nextId}`;
  world.nextId += 1;
  deliver(world, node, { side: 'plans', event: { type: 'ticked', wallMs, id } });
  world.schedule(PLAN_TICK_MS, () => {
    tickPlans(world, node);
  });
}
