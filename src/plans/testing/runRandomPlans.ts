/**
 * A random run: two operators state, confirm and cancel plans on several VMs while the table loses
 * replies and goes down, VMs pause and restart, and engines vanish for a while.
 */

import { createRandom, type Random } from '../../random/createRandom';
import type { Intent } from '../intent';
import type { Plan } from '../plan';
import { confirmIntent } from './confirmIntent';
import { NO_FAULTS } from './fakeTable';
import { findViolations, lateOrders, planRecords } from './findViolations';
import type { Answer, PlanBench } from './planBench';
import { prepareBench } from './prepareBench';
import { engineOf, serviceIntent, WORKSPACE } from './siteIntents';

/** VMs, engines and rounds of one run. */
const NODES = 4;
const ENGINES = ['e1', 'e2', 'e3', 'e4'];
const ROUNDS = 60;

/** Longest time between two rounds, and the rest at the end, milliseconds. */
const ROUND_MS = 6000;
const REST_MS = 600_000;

/** Longest outage, pause and absence, milliseconds. */
const OUTAGE_MS = 30_000;
const PAUSE_MS = 60_000;

export interface RandomRun {
  readonly violations: readonly string[];
  readonly lateOrders: number;
  readonly confirmed: number;
  readonly done: number;
  readonly undone: number;
  readonly orders: number;
  /** Leases taken over from another holder, by the highest fencing number. */
  readonly fencing: number;
}

/** Runs one seed to the end and says what went wrong. */
export function runRandomPlans(seed: number): RandomRun {
  const random = createRandom(seed);
  const bench = prepareRandom(seed);
  const asked: { answer: Answer | undefined }[] = [];
  bench.table.setFaults({ lostRequests: 0.05, lostReplies: 0.1, lateWrites: 0.05 });
  bench.lostOrderAnswers = 0.1;
  bench.sendDelayMs = 200;
  const plans: string[] = [];
  for (let round = 0; round < ROUNDS; round += 1) {
    disturb(bench, random);
    operate(bench, random, asked, plans);
    bench.run(random.next() * ROUND_MS);
    for (const { answer } of asked.splice(0)) {
      const body = answer?.body as { readonly plan?: Plan | string } | undefined;
      if (typeof body?.plan === 'object') plans.push(body.plan.id);
    }
  }
  heal(bench);
  bench.run(REST_MS);
  const records = planRecords(bench);
  const count = (status: string): number => records.filter((item) => item.status === status).length;
  return {
    violations: findViolations(bench),
    lateOrders: lateOrders(bench.taken).length,
    confirmed: records.filter(({ confirmedBy }) => confirmedBy !== '').length,
    done: count('done'),
    undone: count('undone'),
    orders: bench.taken.length,
    fencing: Math.max(0, ...bench.taken.map(({ fencing }) => fencing)),
  };
}

function prepareRandom(seed: number): PlanBench {
  const engines = ENGINES.map((id, index) => engineOf(id, { model: index < 2 ? 'desk' : 'seat' }));
  const bench = prepareBench({ seed, count: NODES, engines, checksFencing: seed % 2 === 0 });
  confirmIntent(bench, serviceIntent('repairs', 'desk'));
  confirmIntent(bench, serviceIntent('tickets', 'seat'));
  return bench;
}

/** Starts at most one fault. */
function disturb(bench: PlanBench, random: Random): void {
  const node = random.integer(NODES);
  const engine = bench.engines.get(random.pick(ENGINES));
  const faults: readonly (() => void)[] = [
    () => {
      bench.table.setDown(true);
      bench.after(random.next() * OUTAGE_MS, () => {
        bench.table.setDown(false);
      });
    },
    () => {
      bench.pause(node, random.next() * PAUSE_MS);
    },
    () => {
      bench.restart(node);
    },
    () => {
      if (engine === undefined) return;
      engine.isDown = true;
      bench.after(random.next() * OUTAGE_MS, () => {
        engine.isDown = false;
      });
    },
    () => {
      if (engine === undefined) return;
      engine.running = 1;
      bench.after(random.next() * OUTAGE_MS, () => {
        engine.running = 0;
      });
    },
  ];
  if (random.next() < 0.4) random.pick(faults)();
}

/** Lets both operators do something. */
function operate(
  bench: PlanBench,
  random: Random,
  asked: { answer: Answer | undefined }[],
  plans: readonly string[],
): void {
  for (const name of ['amina', 'brian']) {
    const by = { name, role: 'confirm' } as const;
    const node = random.integer(NODES);
    const draw = random.next();
    const plan = plans.at(-1 - random.integer(4)) ?? '';
    if (draw < 0.4) {
      const intent = randomIntent(random);
      asked.push(bench.ask(node, { type: 'state-intent', intent, reason: 'random' }, by));
    } else if (draw < 0.9) {
      asked.push(bench.ask(node, { type: 'confirm-plan', plan }, by));
    } else asked.push(bench.ask(node, { type: 'cancel-plan', plan }, by));
  }
}

function randomIntent(random: Random): Intent {
  const from = random.pick(ENGINES);
  const to = random.pick(ENGINES);
  const version = String(random.integer(5));
  const intents: readonly Intent[] = [
    serviceIntent('repairs', 'desk', 500 + random.integer(500)),
    serviceIntent('tickets', random.pick(['desk', 'seat']), 500 + random.integer(500)),
    { type: 'move-model', model: random.pick(['desk', 'seat']), from: [from], to: [to] },
    { type: 'move-model', model: 'desk', from: ['e1'], to: ['e3'] },
    { type: 'move-model', model: 'seat', from: ['e3'], to: ['e1'] },
    { type: 'set-engine', engine: from, modelVersion: version },
    { type: 'set-engine', engine: to, adapter: version },
    WORKSPACE,
  ];
  return random.pick(intents);
}

function heal(bench: PlanBench): void {
  bench.table.setFaults(NO_FAULTS);
  bench.lostOrderAnswers = 0;
  bench.after(OUTAGE_MS, () => {
    bench.table.setDown(false);
  });
}
