/**
 * Test bench that runs the plan reducers of several nodes on a virtual clock, with a table and engines in
 * memory. VMs can be paused and restarted; the table can be unavailable and lose replies.
 */

import TinyQueue from 'tinyqueue';
import type { Configuration } from '../../configuration/configuration';
import { createRandom } from '../../random/createRandom';
import { createPlans } from '../createPlans';
import type { OperatorRequest, OperatorRole, PlanEffect, PlanEvent } from '../planMessage';
import type { Plans } from '../planState';
import { reducePlans } from '../reducePlans';
import { createFakeTable, type FakeTable } from './fakeTable';
import { readConfiguration } from './readConfiguration';
import { applyOrder, type FakeEngine, type AppliedOrder } from './fakeEngine';

/** Time between two ticks of a node, milliseconds. */
const TICK_MS = 500;

/** Largest delay of any call, milliseconds. */
const MAX_DELAY_MS = 20;

/** Time until a revision reaches every VM, and from then until all VMs have acknowledged it, milliseconds. */
const PROPAGATION_MS = 200;
const ACKNOWLEDGE_MS = 400;

/** Longest delay of a late write, milliseconds. */
const MAX_LATE_WRITE_MS = 3000;

/** True wall clock at virtual time 0, milliseconds. */
const WALL_START_MS = 1_700_000_000_000;

export interface Answer {
  readonly status: number;
  readonly body: unknown;
}

interface BenchNode {
  state: Plans;
  incarnation: number;
  pausedUntilMs: number;
  readonly vm: string;
  readonly timers: Map<string, number>;
}

interface ScheduledTask {
  readonly atMs: number;
  /** Order of tasks that are due at the same time. */
  readonly order: number;
  readonly run: () => void;
}

export interface PlanBench {
  readonly table: FakeTable;
  readonly engines: Map<string, FakeEngine>;
  readonly taken: AppliedOrder[];
  readonly nodes: readonly BenchNode[];
  readonly drained: Set<string>;
  readonly effects: PlanEffect[];
  /** Share of orders whose answer is lost, 0 to 1. */
  lostOrderAnswers: number;
  /** Longest additional delay of orders and table calls on the way out of a VM, milliseconds. */
  sendDelayMs: number;
  readonly now: () => number;
  readonly after: (delayMs: number, run: () => void) => void;
  /** Sends a request as an operator; `run` sets the answer. */
  readonly ask: (
    node: number,
    ask: OperatorRequest,
    by?: { readonly name: string; readonly role: OperatorRole },
  ) => { answer: Answer | undefined };
  readonly run: (forMs: number) => void;
  readonly pause: (node: number, forMs: number) => void;
  readonly restart: (node: number) => void;
  /** Reports backend servers as unusable to all nodes. */
  readonly markUnusable: (servers: readonly string[]) => void;
  readonly configuration: () => Configuration;
}

type EffectHandlers = {
  readonly [Type in PlanEffect['type']]?: (
    effect: Extract<PlanEffect, { readonly type: Type }>,
  ) => void;
};

/** Creates a bench of `count` nodes without a configuration. */
export function createPlanBench(options: { seed: number; count: number }): PlanBench {
  const random = createRandom(options.seed);
  const queue = new TinyQueue<ScheduledTask>(
    [],
    (one, other) => one.atMs - other.atMs || one.order - other.order,
  );
  const table = createFakeTable(createRandom(options.seed + 1));
  const answers = new Map<string, { answer: Answer | undefined }>();
  let nowMs = 0;
  let sequence = 0;
  let lastId = 0;

  const after = (delayMs: number, run: () => void): void => {
    sequence += 1;
    queue.push({ atMs: nowMs + delayMs, order: sequence, run });
  };
  const delay = (): number => random.next() * MAX_DELAY_MS;
  const nodes: BenchNode[] = Array.from({ length: options.count }, (_item, index) => ({
    vm: `vm-${index}`,
    incarnation: 1,
    state: createPlans({ vm: `vm-${index}`, holder: `vm-${index}/1` }),
    pausedUntilMs: 0,
    timers: new Map<string, number>(),
  }));

  const bench: PlanBench = {
    table,
    nodes,
    engines: new Map(),
    taken: [],
    drained: new Set(),
    effects: [],
    lostOrderAnswers: 0,
    sendDelayMs: 0,
    now: () => nowMs,
    after,
    ask: (index, ask, by = { name: 'amina', role: 'confirm' }) => {
      lastId += 1;
      const call = `ask-${lastId}`;
      const slot: { answer: Answer | undefined } = { answer: undefined };
      answers.set(call, slot);
      const id = String(lastId).padStart(8, '0');
      const wallMs = WALL_START_MS + nowMs;
      post(nodeAt(index), { type: 'operator-asked', call, operator: by, ask, wallMs, id });
      return slot;
    },
    run: (forMs) => {
      const until = nowMs + forMs;
      for (let task = queue.peek(); task !== undefined && task.atMs <= until; task = queue.peek()) {
        queue.pop();
        nowMs = task.atMs;
        task.run();
      }
      nowMs = until;
    },
    pause: (index, forMs) => {
      nodeAt(index).pausedUntilMs = nowMs + forMs;
    },
    restart: (index) => {
      const node = nodeAt(index);
      node.incarnation += 1;
      node.timers.clear();
      node.state = createPlans({ vm: node.vm, holder: `${node.vm}/${node.incarnation}` });
      deliverConfiguration(node);
    },
    markUnusable: (servers) => {
      const health = servers.map((server) => ({ server, isUsable: false, weight: 0 }));
      for (const node of nodes) post(node, { type: 'servers-changed', servers: health });
    },
    configuration: () => readConfiguration(table),
  };

  function nodeAt(index: number): BenchNode {
    const node = nodes[index];
    if (node === undefined) throw new RangeError(`No node ${index}`);
    return node;
  }

  type Untimed<Event> = Event extends unknown ? Omit<Event, 'atMs' | 'seed'> : never;

  /** Posts an event to a node, or defers it to the end of the node's pause. */
  function post(node: BenchNode, event: Untimed<PlanEvent>, incarnation = node.incarnation): void {
    if (incarnation !== node.incarnation) return;
    if (nowMs < node.pausedUntilMs) {
      after(node.pausedUntilMs - nowMs, () => {
        post(node, event, incarnation);
      });
      return;
    }
    const seed = random.integer(2 ** 31);
    const step = reducePlans(node.state, { ...event, atMs: nowMs, seed });
    node.state = step.state;
    for (const effect of step.effects) runEffect(node, effect);
  }

  function runEffect(node: BenchNode, effect: PlanEffect): void {
    bench.effects.push(effect);
    const { incarnation } = node;
    const reply = (event: Untimed<PlanEvent>): void => {
      after(delay(), () => {
        post(node, event, incarnation);
      });
    };
    /** Sends a message after a delay; if the node is paused then, at the end of the pause. */
    const send = (run: () => void, afterMs = delay() + random.next() * bench.sendDelayMs): void => {
      after(afterMs, () => {
        if (nowMs < node.pausedUntilMs) send(run, node.pausedUntilMs - nowMs);
        else run();
      });
    };
    const handlers: EffectHandlers = {
      answer: ({ call, status, body }) => {
        const slot = answers.get(call);
        if (slot?.answer !== undefined) throw new Error(`Two answers to ${call}`);
        if (slot !== undefined) slot.answer = { status, body };
      },
      transact: ({ call, transaction }) => {
        send(() => {
          const result = table.transact(transaction, (apply) => {
            after(random.next() * MAX_LATE_WRITE_MS, apply);
          });
          reply({ type: 'transacted', call, result });
        });
      },
      'read-rows': ({ call, table: name, keys }) => {
        send(() => {
          reply({ type: 'rows-read', call, result: table.read(name, keys) });
        });
      },
      'read-range': ({ call, range }) => {
        send(() => {
          reply({ type: 'rows-read', call, result: table.range(range) });
        });
      },
      'set-timer': ({ timer, afterMs }) => {
        const atMs = nowMs + afterMs;
        node.timers.set(timer, atMs);
        after(afterMs, () => {
          if (node.timers.get(timer) !== atMs || node.incarnation !== incarnation) return;
          node.timers.delete(timer);
          post(node, { type: 'timer-fired', timer }, incarnation);
        });
      },
      'clear-timer': ({ timer }) => {
        node.timers.delete(timer);
      },
      'order-engine': ({ call, server, order: engineOrder }) => {
        send(() => {
          const engine = bench.engines.get(server);
          if (engine === undefined || engine.isDown) {
            reply({ type: 'order-answered', call, result: { type: 'unreachable' } });
            return;
          }
          const result = applyOrder(engine, engineOrder, WALL_START_MS + nowMs, bench.taken);
          const isLost = random.next() < bench.lostOrderAnswers;
          reply({ type: 'order-answered', call, result: isLost ? { type: 'lost' } : result });
        });
      },
      'read-engine': ({ call, server }) => {
        const engine = bench.engines.get(server);
        if (engine === undefined || engine.isDown) {
          reply({ type: 'engine-read', call, result: { type: 'unreachable' } });
          return;
        }
        const { state, highest, running } = engine;
        const result = { type: 'state', state, fencing: highest, running } as const;
        reply({ type: 'engine-read', call, result });
      },
      'head-committed': () => {
        after(PROPAGATION_MS, () => {
          nodes.forEach(deliverConfiguration);
        });
      },
      'drain-self': () => {
        bench.drained.add(node.vm);
      },
    };
    const handle = handlers[effect.type] as ((one: PlanEffect) => void) | undefined;
    handle?.(effect);
  }

  /** Stands in for the fleet reducer: delivers the configuration, and later that all VMs have accepted it. */
  function deliverConfiguration(node: BenchNode): void {
    const configuration = readConfiguration(table);
    post(node, { type: 'configuration-changed', configuration });
    const { incarnation } = node;
    after(ACKNOWLEDGE_MS, () => {
      post(node, { type: 'configuration-accepted', revision: configuration.revision }, incarnation);
    });
  }

  function tick(node: BenchNode): void {
    post(node, { type: 'ticked', wallMs: WALL_START_MS + nowMs, id: '' });
    after(TICK_MS, () => {
      tick(node);
    });
  }

  nodes.forEach(tick);
  return bench;
}
