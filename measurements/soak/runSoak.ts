/** One long randomised run: whole nodes under a virtual clock, with callers, operators and faults. */

import TinyQueue from 'tinyqueue';
import { buildCommitTransaction } from '../../src/configuration/buildCommitTransaction';
import { hash32 } from '../../src/hashing/hash32';
import { createRandom } from '../../src/random/createRandom';
import { applyFault } from './applyFault';
import { createFindings, type Findings } from './findings';
import { judgeCalls } from './judgeCalls';
import { startCall } from './soakCall';
import { startChange } from './soakChange';
import type { SoakPlan, Work } from './soakItem';
import { startRequest } from './soakRequest';
import { engines, listSiteChanges, plainServers } from './soakSite';
import { transactRows } from './soakTable';
import type { BreakSides, World } from './soakWorld';
import { replaceNode } from './startNode';

/** What a run gives. */
export interface SoakRun {
  readonly findings: Findings;
  readonly events: number;
  readonly trace: readonly string[];
}

/** Time after the last item in which everything comes to its end, milliseconds. */
const WIND_DOWN_MS = 9000;

/** Lines of the trace that are kept. */
const MAX_TRACE = 4000;

interface Scheduled {
  readonly atMs: number;
  readonly order: number;
  readonly run: () => void;
}

/**
 * Runs a plan to its end; the same plan gives the same run.
 *
 * @param breakSides how a test breaks a rule on purpose
 */
export function runSoak(plan: SoakPlan, breakSides: BreakSides = (sides) => sides): SoakRun {
  const queue = new TinyQueue<Scheduled>([], (one, other) =>
    one.atMs === other.atMs ? one.order - other.order : one.atMs - other.atMs,
  );
  const trace: string[] = [];
  let order = 0;
  const world = createWorld(plan, breakSides);
  world.schedule = (afterMs, run) => {
    order += 1;
    queue.push({ atMs: world.nowMs + afterMs, order, run });
  };
  world.trace = (line) => {
    if (trace.length < MAX_TRACE) trace.push(`${world.nowMs.toFixed(1)} ${line}`);
  };
  startSite(world, plan);
  const endsAtMs = plan.endsAtMs + WIND_DOWN_MS;
  for (let item = queue.pop(); item !== undefined && item.atMs <= endsAtMs; item = queue.pop()) {
    world.nowMs = item.atMs;
    item.run();
  }
  judgeCalls(world);
  world.findings.steps = plan.work.length + plan.faults.length;
  return { findings: world.findings, events: world.events, trace };
}

type MutableWorld = { -readonly [Key in keyof World]: World[Key] };

function createWorld(plan: SoakPlan, breakSides: BreakSides): MutableWorld {
  return {
    nowMs: 0,
    events: 0,
    random: createRandom(hash32('soak', plan.seed)),
    findings: createFindings(),
    nodes: [],
    rows: new Map(),
    servers: new Map(plainServers.map((id) => [id, createServer(id)])),
    engines: new Map(engines.map(({ id }) => [id, createEngine(id)])),
    runs: [],
    calls: [],
    tickets: new Map(),
    started: new Set(),
    cancelled: new Set(),
    breakSides,
    remembered: plan.remembered,
    until: { storeDown: 0, storeLossy: 0, slowNetwork: 0, partition: 0, storeCut: 0 },
    cutNodes: new Set(),
    storeCutNodes: new Set(),
    nextId: 1,
    schedule: () => undefined,
    trace: () => undefined,
  };
}

function createServer(id: string) {
  return {
    id,
    downUntilMs: 0,
    flakyUntilMs: 0,
    leavingSinceMs: 0,
    leavingUntilMs: 0,
    life: 1,
    answers: new Map(),
  };
}

function createEngine(id: string) {
  return { id, downUntilMs: 0, stalledUntilMs: 0, wrongUntilMs: 0, life: 1 };
}

function startSite(world: World, plan: SoakPlan): void {
  const changes = listSiteChanges();
  const by = { operator: 'soak', reason: 'site' };
  const revision = { number: 1, changeId: 'site', changes, ...by };
  transactRows(world.rows, buildCommitTransaction(revision, 0));
  for (let index = 0; index < plan.nodes; index += 1) {
    world.schedule(index, () => {
      replaceNode(world, index);
    });
  }
  for (const work of plan.work) {
    world.schedule(work.atMs, () => {
      startWork(world, work);
    });
  }
  for (const fault of plan.faults) {
    world.schedule(fault.atMs, () => {
      applyFault(world, fault);
    });
  }
}

const starts: {
  readonly [Type in Work['type']]: (
    world: World,
    work: Extract<Work, { readonly type: Type }>,
  ) => void;
} = { call: startCall, request: startRequest, change: startChange };

function startWork(world: World, work: Work): void {
  starts[work.type](world, work as never);
}
