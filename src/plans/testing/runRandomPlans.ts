/**
 * Runs a randomized test: two operators create, confirm and cancel plans on several VMs while the table
 * loses replies and becomes unavailable, VMs pause and restart, and engines are unreachable for a while.
 */

import { createRandom, type Random } from '../../random/createRandom';
import type { Intent } from '../intent';
import type { Plan } from '../plan';
import { confirmIntent } from './confirmIntent';
import { NO_FAULTS } from './fakeTable';
import { findViolations, findStaleOrders, listPlanRecords } from './findViolations';
import type { Answer, PlanBench } from './createPlanBench';
import { prepareBench } from './prepareBench';
import { createEngine, createServiceIntent, WORKSPACE } from './siteIntents';

/** Number of VMs, ids of engines, and number of rounds of one run. */
const NODE_COUNT = 4;
const ENGINE_IDS = ['e1', 'e2', 'e3', 'e4'];
const ROUNDS = 60;

/** Longest time between two rounds, and the time at the end for all plans to finish, milliseconds. */
const MAX_ROUND_MS = 6000;
const COMPLETION_MS = 600_000;

/** Longest outage of the table or an engine, and longest pause of a VM, milliseconds. */
const MAX_OUTAGE_MS = 30_000;
const MAX_PAUSE_MS = 60_000;

export interface RandomRunResult {
  readonly violations: readonly string[];
  readonly staleOrders: number;
  readonly confirmed: number;
  readonly done: number;
  readonly undone: number;
  readonly orders: number;
  /** Highest fencing number of any applied order, which grows with each takeover of a lease. */
  readonly fencing: number;
}

/** Runs one seed to the end and reports violations and counts. */
export function runRandomPlans(seed: number): RandomRunResult {
  const random = createRandom(seed);
  const bench = prepareRandomBench(seed);
  const requests: { answer: Answer | undefined }[] = [];
  bench.table.setFaults({ lostRequests: 0.05, lostReplies: 0.1, lateWrites: 0.05 });
  bench.lostOrderAnswers = 0.1;
  bench.sendDelayMs = 200;
  const plans: string[] = [];
  for (let round = 0; round < ROUNDS; round += 1) {
    injectFault(bench, random);
    sendOperatorRequests(bench, random, requests, plans);
    bench.run(random.next() * MAX_ROUND_MS);
    for (const { answer } of requests.splice(0)) {
      const body = answer?.body as { readonly plan?: Plan | string } | undefined;
      if (typeof body?.plan === 'object') plans.push(body.plan.id);
    }
  }
  removeFaults(bench);
  bench.run(COMPLETION_MS);
  const records = listPlanRecords(bench);
  const count = (status: string): number => records.filter((item) => item.status === status).length;
  return {
    violations: findViolations(bench),
    staleOrders: findStaleOrders(bench.taken).length,
    confirmed: records.filter(({ confirmedBy }) => confirmedBy !== '').length,
    done: count('done'),
    undone: count('undone'),
    orders: bench.taken.length,
    fencing: Math.max(0, ...bench.taken.map(({ fencing }) => fencing)),
  };
}

function prepareRandomBench(seed: number): PlanBench {
  const engines = ENGINE_IDS.map((id, index) =>
    createEngine(id, { model: index < 2 ? 'desk' : 'seat' }),
  );
  const bench = prepareBench({ seed, count: NODE_COUNT, engines, checksFencing: seed % 2 === 0 });
  confirmIntent(bench, createServiceIntent('repairs', 'desk'));
  confirmIntent(bench, createServiceIntent('tickets', 'seat'));
  return bench;
}

/** Injects at most one fault. */
function injectFault(bench: PlanBench, random: Random): void {
  const node = random.integer(NODE_COUNT);
  const engine = bench.engines.get(random.pick(ENGINE_IDS));
  const faults: readonly (() => void)[] = [
    () => {
      bench.table.setDown(true);
      bench.after(random.next() * MAX_OUTAGE_MS, () => {
        bench.table.setDown(false);
      });
    },
    () => {
      bench.pause(node, random.next() * MAX_PAUSE_MS);
    },
    () => {
      bench.restart(node);
    },
    () => {
      if (engine === undefined) return;
      engine.isDown = true;
      bench.after(random.next() * MAX_OUTAGE_MS, () => {
        engine.isDown = false;
      });
    },
    () => {
      if (engine === undefined) return;
      engine.running = 1;
      bench.after(random.next() * MAX_OUTAGE_MS, () => {
        engine.running = 0;
      });
    },
  ];
  if (random.next() < 0.4) random.pick(faults)();
}

/** Sends one random request from each operator. */
function sendOperatorRequests(
  bench: PlanBench,
  random: Random,
  requests: { answer: Answer | undefined }[],
  plans: readonly string[],
): void {
  for (const name of ['amina', 'brian']) {
    const by = { name, role: 'confirm' } as const;
    const node = random.integer(NODE_COUNT);
    const choice = random.next();
    const plan = plans.at(-1 - random.integer(4)) ?? '';
    if (choice < 0.4) {
      const intent = drawIntent(random);
      requests.push(bench.ask(node, { type: 'state-intent', intent, reason: 'random' }, by));
    } else if (choice < 0.9) {
      requests.push(bench.ask(node, { type: 'confirm-plan', plan }, by));
    } else requests.push(bench.ask(node, { type: 'cancel-plan', plan }, by));
  }
}

function drawIntent(random: Random): Intent {
  const from = random.pick(ENGINE_IDS);
  const to = random.pick(ENGINE_IDS);
  const version = String(random.integer(5));
  const intents: readonly Intent[] = [
    createServiceIntent('repairs', 'desk', 500 + random.integer(500)),
    createServiceIntent('tickets', random.pick(['desk', 'seat']), 500 + random.integer(500)),
    { type: 'move-model', model: random.pick(['desk', 'seat']), from: [from], to: [to] },
    { type: 'move-model', model: 'desk', from: ['e1'], to: ['e3'] },
    { type: 'move-model', model: 'seat', from: ['e3'], to: ['e1'] },
    { type: 'set-engine', engine: from, modelVersion: version },
    { type: 'set-engine', engine: to, adapter: version },
    WORKSPACE,
  ];
  return random.pick(intents);
}

function removeFaults(bench: PlanBench): void {
  bench.table.setFaults(NO_FAULTS);
  bench.lostOrderAnswers = 0;
  bench.after(MAX_OUTAGE_MS, () => {
    bench.table.setDown(false);
  });
}
