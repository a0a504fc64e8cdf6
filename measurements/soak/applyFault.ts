/** Brings a fault about. */

import { countWork } from './countWork';
import { deliver } from './deliver';
import type { Fault, FaultType } from './soakItem';
import { engines, plainServers } from './soakSite';
import { replaceNode } from './startNode';
import type { SoakEngine, SoakServer } from './soakServer';
import type { SoakNode, World } from './soakWorld';

/** Time between two counts of the work on a draining VM, milliseconds. */
const WORK_COUNT_MS = 100;

/** Starts the fault; it ends by itself. */
export function applyFault(world: World, fault: Fault): void {
  const hit = table[fault.type](world, fault, world.nowMs + fault.forMs);
  world.trace(`fault ${fault.type} ${hit} for ${Math.round(fault.forMs)} ms`);
}

const table: Readonly<Record<FaultType, (world: World, fault: Fault, untilMs: number) => string>> =
  {
    crash: (world, fault) => {
      const node = pickNode(world, fault);
      if (!node.isUp) return 'nothing';
      node.isUp = false;
      world.schedule(fault.forMs, () => {
        replaceNode(world, node.index);
      });
      return node.vm.id;
    },
    pause: (world, fault, untilMs) => {
      const node = pickNode(world, fault);
      node.pausedUntilMs = Math.max(node.pausedUntilMs, untilMs);
      return node.vm.id;
    },
    partition: (world, fault, untilMs) => {
      world.until.partition = untilMs;
      world.cutNodes = pickSome(world, fault);
      return listNodes(world.cutNodes);
    },
    'store-cut': (world, fault, untilMs) => {
      world.until.storeCut = untilMs;
      world.storeCutNodes = pickSome(world, fault);
      return listNodes(world.storeCutNodes);
    },
    'store-down': (world, _fault, untilMs) => {
      world.until.storeDown = untilMs;
      return 'for all';
    },
    'store-lossy': (world, _fault, untilMs) => {
      world.until.storeLossy = untilMs;
      return 'for all';
    },
    'slow-network': (world, _fault, untilMs) => {
      world.until.slowNetwork = untilMs;
      return 'for all';
    },
    drain: (world, fault) => {
      const node = pickNode(world, fault);
      drain(world, node);
      return node.vm.id;
    },
    'server-crash': (world, fault, untilMs) => {
      const server = pickServer(world, fault);
      server.downUntilMs = untilMs;
      server.life += 1;
      return server.id;
    },
    'server-flaky': (world, fault, untilMs) => {
      const server = pickServer(world, fault);
      server.flakyUntilMs = untilMs;
      return server.id;
    },
    'server-leaving': (world, fault, untilMs) => {
      const server = pickServer(world, fault);
      if (world.nowMs < server.leavingUntilMs) return 'nothing';
      server.leavingSinceMs = world.nowMs;
      server.leavingUntilMs = untilMs + fault.forMs;
      return server.id;
    },
    'engine-crash': (world, fault, untilMs) => {
      const engine = pickEngine(world, fault);
      engine.downUntilMs = untilMs;
      engine.life += 1;
      return engine.id;
    },
    'engine-stall': (world, fault, untilMs) => {
      const engine = pickEngine(world, fault);
      engine.stalledUntilMs = untilMs;
      return engine.id;
    },
    'engine-wrong': (world, fault, untilMs) => {
      const engine = pickEngine(world, fault);
      engine.wrongUntilMs = untilMs;
      return engine.id;
    },
  };

function listNodes(nodes: ReadonlySet<number>): string {
  return [...nodes].map((index) => `vm${index + 1}`).join(' ');
}

function drain(world: World, node: SoakNode): void {
  if (!node.isUp || node.isDraining) return;
  node.isDraining = true;
  deliver(world, node, { side: 'fleet', event: { type: 'drain-started' } });
  deliver(world, node, { side: 'operations', event: { type: 'drain-started' } });
  countAgain(world, node);
}

function countAgain(world: World, node: SoakNode): void {
  if (!node.isUp) return;
  if (world.nowMs < node.pausedUntilMs) {
    world.schedule(node.pausedUntilMs - world.nowMs, () => {
      countAgain(world, node);
    });
    return;
  }
  const event = { type: 'work-counted', running: countWork(node) } as const;
  deliver(world, node, { side: 'fleet', event });
  world.schedule(WORK_COUNT_MS, () => {
    countAgain(world, node);
  });
}

function pickNode(world: World, { pick }: Fault): SoakNode {
  const node = world.nodes[pick % world.nodes.length];
  if (node === undefined) throw new RangeError('A run has nodes');
  return node;
}

function pickSome(world: World, { pick }: Fault): ReadonlySet<number> {
  return new Set(
    world.nodes.map(({ index }) => index).filter((index) => (pick >> index) % 2 === 1),
  );
}

function pickServer(world: World, { pick }: Fault): SoakServer {
  const server = world.servers.get(plainServers[pick % plainServers.length] ?? '');
  if (server === undefined) throw new RangeError('A run has plain servers');
  return server;
}

function pickEngine(world: World, { pick }: Fault): SoakEngine {
  const engine = world.engines.get(engines[pick % engines.length]?.id ?? '');
  if (engine === undefined) throw new RangeError('A run has engines');
  return engine;
}
