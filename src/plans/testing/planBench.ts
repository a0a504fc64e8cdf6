/**
 * Runs the plans side of several nodes on a virtual clock, with a table and engines in memory. VMs
 * can be paused and restarted, the table can be down and lose replies.
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
import { takeOrder, type FakeEngine, type TakenOrder } from './fakeEngine';

/** Milliseconds between two ticks of a node. */
const TICK_MS = 500;

/** Largest delay of any call, milliseconds. */
const MAX_DELAY_MS = 20;

/** Time until a revision has reached every VM, and until that is known, milliseconds. */
const SPREAD_MS = 200;
const ACCEPT_MS = 400;

/** Time in which a late write takes effect, milliseconds. */
const LATE_MS = 3000;

/** True wall clock at virtual time 0, milliseconds. */
const WALL_START_MS = 1_700_000_000_000;

export interface Answer {
  readonly status: number;
  readonly body: unknown;
}

interface BenchNode {
  state: Plans;
  life: number;
  pausedUntilMs: number;
  readonly vm: string;
  readonly timers: Map<string, number>;
}

interface Item {
  readonly atMs: number;
  readonly order: number;
  readonly run: () => void;
}

export interface PlanBench {
  readonly table: FakeTable;
  readonly engines: Map<string, FakeEngine>;
  readonly taken: TakenOrder[];
  readonly nodes: readonly BenchNode[];
  readonly drained: Set<string>;
  readonly effects: PlanEffect[];
  /** Share of orders whose answer is lost. */
  lostOrderAnswers: number;
  /** Largest time that an order or a write spends on the way out of a VM, milliseconds. */
  sendDelayMs: number;
  readonly now: () => number;
  readonly after: (delayMs: number, run: () => void) => void;
  /** Asks as an operator; the answer is there after `run`. */
  readonly ask: (
    node: number,
    ask: OperatorRequest,
    by?: { readonly name: string; readonly role: OperatorRole },
  ) => { answer: Answer | undefined };
  readonly run: (forMs: number) => void;
  readonly pause: (node: number, forMs: number) => void;
  readonly restart: (node: number) => void;
  /** Tells all nodes which backend servers cannot be used. */
  readonly lose: (servers: readonly string[]) => void;
  readonly configuration: () => Configuration;
}

type Carriers = {
  readonly [Type in PlanEffect['type']]?: (
    effect: Extract<PlanEffect, { readonly type: Type }>,
  ) => void;
};

/** Builds a bench of `count` nodes that all know nothing yet. */
export function createPlanBench(options: { seed: number; count: number }): PlanBench {
  const random = createRandom(options.seed);
  const queue = new TinyQueue<Item>(
    [],
    (one, other) => one.atMs - other.atMs || one.order - other.order,
  );
  const table = createFakeTable(createRandom(options.seed + 1));
  const answers = new Map<string, { answer: Answer | undefined }>();
  let nowMs = 0;
  let order = 0;
  let ids = 0;

  const after = (delayMs: number, run: () => void): void => {
    order += 1;
    queue.push({ atMs: nowMs + delayMs, order, run });
  };
  const delay = (): number => random.next() * MAX_DELAY_MS;
  const nodes: BenchNode[] = Array.from({ length: options.count }, (_item, index) => ({
    vm: `vm-${index}`,
    life: 1,
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
      ids += 1;
      const call = `ask-${ids}`;
      const slot: { answer: Answer | undefined } = { answer: undefined };
      answers.set(call, slot);
      const id = String(ids).padStart(8, '0');
      const wallMs = WALL_START_MS + nowMs;
      feed(nodeAt(index), { type: 'operator-asked', call, operator: by, ask, wallMs, id });
      return slot;
    },
    run: (forMs) => {
      const until = nowMs + forMs;
      for (let item = queue.peek(); item !== undefined && item.atMs <= until; item = queue.peek()) {
        queue.pop();
        nowMs = item.atMs;
        item.run();
      }
      nowMs = until;
    },
    pause: (index, forMs) => {
      nodeAt(index).pausedUntilMs = nowMs + forMs;
    },
    restart: (index) => {
      const node = nodeAt(index);
      node.life += 1;
      node.timers.clear();
      node.state = createPlans({ vm: node.vm, holder: `${node.vm}/${node.life}` });
      spread(node);
    },
    lose: (servers) => {
      const health = servers.map((server) => ({ server, isUsable: false, weight: 0 }));
      for (const node of nodes) feed(node, { type: 'servers-changed', servers: health });
    },
    configuration: () => readConfiguration(table),
  };

  function nodeAt(index: number): BenchNode {
    const node = nodes[index];
    if (node === undefined) throw new RangeError(`No node ${index}`);
    return node;
  }

  type Untimed<Event> = Event extends unknown ? Omit<Event, 'atMs' | 'seed'> : never;

  /** Hands an event to a node, or keeps it while the node is paused. */
  function feed(node: BenchNode, event: Untimed<PlanEvent>, life = node.life): void {
    if (life !== node.life) return;
    if (nowMs < node.pausedUntilMs) {
      after(node.pausedUntilMs - nowMs, () => {
        feed(node, event, life);
      });
      return;
    }
    const seed = random.integer(2 ** 31);
    const step = reducePlans(node.state, { ...event, atMs: nowMs, seed });
    node.state = step.state;
    for (const effect of step.effects) carryOut(node, effect);
  }

  function carryOut(node: BenchNode, effect: PlanEffect): void {
    bench.effects.push(effect);
    const { life } = node;
    const reply = (event: Untimed<PlanEvent>): void => {
      after(delay(), () => {
        feed(node, event, life);
      });
    };
    /** A message leaves the VM after a while, or when a pause that began meanwhile is over. */
    const out = (run: () => void, afterMs = delay() + random.next() * bench.sendDelayMs): void => {
      after(afterMs, () => {
        if (nowMs < node.pausedUntilMs) out(run, node.pausedUntilMs - nowMs);
        else run();
      });
    };
    const handlers: Carriers = {
      answer: ({ call, status, body }) => {
        const slot = answers.get(call);
        if (slot?.answer !== undefined) throw new Error(`Two answers to ${call}`);
        if (slot !== undefined) slot.answer = { status, body };
      },
      transact: ({ call, transaction }) => {
        out(() => {
          const result = table.transact(transaction, (apply) => {
            after(random.next() * LATE_MS, apply);
          });
          reply({ type: 'transacted', call, result });
        });
      },
      'read-rows': ({ call, table: name, keys }) => {
        out(() => {
          reply({ type: 'rows-read', call, result: table.read(name, keys) });
        });
      },
      'read-range': ({ call, range }) => {
        out(() => {
          reply({ type: 'rows-read', call, result: table.range(range) });
        });
      },
      'set-timer': ({ timer, afterMs }) => {
        const atMs = nowMs + afterMs;
        node.timers.set(timer, atMs);
        after(afterMs, () => {
          if (node.timers.get(timer) !== atMs || node.life !== life) return;
          node.timers.delete(timer);
          feed(node, { type: 'timer-fired', timer }, life);
        });
      },
      'clear-timer': ({ timer }) => {
        node.timers.delete(timer);
      },
      'order-engine': ({ call, server, order: sent }) => {
        out(() => {
          const engine = bench.engines.get(server);
          if (engine === undefined || engine.isDown) {
            reply({ type: 'order-answered', call, result: { type: 'unreachable' } });
            return;
          }
          const result = takeOrder(engine, sent, WALL_START_MS + nowMs, bench.taken);
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
        after(SPREAD_MS, () => {
          nodes.forEach(spread);
        });
      },
      'drain-self': () => {
        bench.drained.add(node.vm);
      },
    };
    const handle = handlers[effect.type] as ((one: PlanEffect) => void) | undefined;
    handle?.(effect);
  }

  /** Brings a node what the fleet side would: the configuration, and later that all have it. */
  function spread(node: BenchNode): void {
    const configuration = readConfiguration(table);
    feed(node, { type: 'configuration-changed', configuration });
    const { life } = node;
    after(ACCEPT_MS, () => {
      feed(node, { type: 'configuration-accepted', revision: configuration.revision }, life);
    });
  }

  function tick(node: BenchNode): void {
    feed(node, { type: 'ticked', wallMs: WALL_START_MS + nowMs, id: '' });
    after(TICK_MS, () => {
      tick(node);
    });
  }

  nodes.forEach(tick);
  return bench;
}
