import type { Configuration } from '../configuration/configuration';
import type { Intent } from './intent';
import type { Plan } from './plan';
import type { PlanRecord } from './planRecord';
import { predictModelThroughput } from './predictModelThroughput';
import { confirmIntent, proposeIntent } from './testing/confirmIntent';
import { findViolations, listPlanRecords } from './testing/findViolations';
import type { PlanBench } from './testing/createPlanBench';
import { prepareBench } from './testing/prepareBench';
import { createEngine, createServiceIntent } from './testing/siteIntents';

const MOVE: Intent = { type: 'move-model', model: 'desk', from: ['e1'], to: ['e2'] };

/** Time that the move takes on a quiet bench, with room, milliseconds. */
const MOVE_MS = 20_000;

/** Points at which the move is disturbed: between any two of its steps and writes. */
const POINTS = Array.from({ length: 40 }, (_item, index) => index * 300);

/** Long enough for two successions and an undo, milliseconds. */
const REST_MS = 200_000;

/** Model desk on e1, model seat on e2, and a service on desk; the move takes e2 over. */
function prepareMove(checksFencing = true): { bench: PlanBench; plan: Plan } {
  const engines = [createEngine('e1'), createEngine('e2', { model: 'seat' })];
  const bench = prepareBench({ engines, count: 3, checksFencing });
  confirmIntent(bench, createServiceIntent('repairs'));
  return { bench, plan: proposeIntent(bench, MOVE) };
}

function recordOf(bench: PlanBench, { id }: Plan): PlanRecord | undefined {
  return listPlanRecords(bench).find(({ plan }) => plan.id === id);
}

function statusOf(bench: PlanBench, plan: Plan): string | undefined {
  return recordOf(bench, plan)?.status;
}

/** The node that carries a plan out; node 1 where there is none. */
function holderOf(bench: PlanBench): number {
  const index = bench.nodes.findIndex(({ state }) => state.executions.size > 0);
  return index < 0 ? 1 : index;
}

function objectsOf(configuration: Configuration): unknown {
  return { ...configuration, revision: 0 };
}

/** Runs on in small steps and gives the lowest capacity of model desk that was in force. */
function runWatched(bench: PlanBench, forMs: number, stepMs = 100): number {
  let lowest = Infinity;
  for (let gone = 0; gone < forMs; gone += stepMs) {
    bench.run(stepMs);
    lowest = Math.min(lowest, predictModelThroughput(bench.configuration(), 'desk'));
  }
  return lowest;
}

describe('driveExecution', () => {
  it('moves a model, new before old, never below the stated capacity', () => {
    const { bench, plan } = prepareMove();
    bench.ask(1, { type: 'confirm-plan', plan: plan.id });
    const lowest = runWatched(bench, MOVE_MS);
    expect(statusOf(bench, plan)).toBe('done');
    expect(lowest).toBeGreaterThanOrEqual(plan.throughput[0]?.during ?? Infinity);
    expect(bench.configuration().engine.get('e2')).toMatchObject({ model: 'desk', role: 'mixed' });
    expect(bench.configuration().engine.get('e1')).toMatchObject({ role: 'idle' });
    expect(findViolations(bench)).toEqual([]);
  });

  it('does not order an engine while requests run on it', () => {
    const { bench, plan } = prepareMove();
    const e2 = bench.engines.get('e2');
    if (e2 === undefined) throw new Error('no e2');
    e2.running = 1;
    bench.ask(1, { type: 'confirm-plan', plan: plan.id });
    bench.run(300_000);
    expect(e2.state.model).toBe('seat');
    e2.running = 0;
    bench.run(MOVE_MS);
    expect(e2.state.model).toBe('desk');
    expect(findViolations(bench)).toEqual([]);
  });

  it.each([true, false])('goes on after a crash at any point (fencing checked: %s)', (checks) => {
    for (const point of POINTS) {
      const { bench, plan } = prepareMove(checks);
      bench.ask(1, { type: 'confirm-plan', plan: plan.id });
      bench.run(point);
      bench.restart(holderOf(bench));
      bench.run(REST_MS);
      expect([point, statusOf(bench, plan), findViolations(bench)]).toEqual([
        point,
        point === 0 ? expect.stringMatching(/done|proposed/) : 'done',
        [],
      ]);
    }
  });

  it.each([true, false])(
    'takes no order of a holder that wakes (fencing checked: %s)',
    (checks) => {
      for (const point of POINTS) {
        const { bench, plan } = prepareMove(checks);
        bench.sendDelayMs = 3000;
        bench.ask(1, { type: 'confirm-plan', plan: plan.id });
        bench.run(point);
        bench.pause(1, 60_000);
        bench.run(REST_MS);
        expect([point, statusOf(bench, plan), findViolations(bench)]).toEqual([point, 'done', []]);
      }
    },
  );

  it.each([true, false])('drops an order that leaves late (fencing checked: %s)', (checks) => {
    const { bench, plan } = prepareMove(checks);
    const isOrdered = (): boolean =>
      bench.effects.some((effect) => effect.type === 'order-engine' && effect.server === 'e2');
    bench.effects.length = 0;
    bench.sendDelayMs = 1000;
    bench.ask(1, { type: 'confirm-plan', plan: plan.id });
    for (let waited = 0; !isOrdered(); waited += 1) {
      expect(waited).toBeLessThan(100_000);
      bench.run(1);
    }
    const taken = bench.taken.length;
    bench.pause(holderOf(bench), 60_000);
    bench.run(59_000);
    expect(bench.taken.length).toBe(taken + 1);
    bench.run(REST_MS);
    expect(bench.taken.length).toBe(taken + 1);
    expect(statusOf(bench, plan)).toBe('done');
    expect(findViolations(bench)).toEqual([]);
  });

  it('goes on after the store was lost at any point, and orders nothing without it', () => {
    for (const point of POINTS) {
      const { bench, plan } = prepareMove();
      bench.ask(1, { type: 'confirm-plan', plan: plan.id });
      bench.run(Math.max(point, 200));
      bench.table.setDown(true);
      bench.run(15_000);
      const taken = bench.taken.length;
      bench.run(60_000);
      expect(bench.taken.length).toBe(taken);
      bench.table.setDown(false);
      bench.run(REST_MS);
      expect([point, statusOf(bench, plan), findViolations(bench)]).toEqual([point, 'done', []]);
    }
  });

  it('undoes a plan that is cancelled at any point', () => {
    for (const point of POINTS) {
      const { bench, plan } = prepareMove();
      const before = objectsOf(bench.configuration());
      bench.ask(1, { type: 'confirm-plan', plan: plan.id });
      bench.run(point);
      const cancelled = bench.ask(2, { type: 'cancel-plan', plan: plan.id });
      const lowest = runWatched(bench, MOVE_MS, 400);
      bench.run(REST_MS);
      const status = statusOf(bench, plan);
      expect(['done', 'undone', 'cancelled']).toContain(status);
      if (cancelled.answer?.status === 200) expect(status).not.toBe('done');
      if (status !== 'done') expect(objectsOf(bench.configuration())).toEqual(before);
      expect(lowest).toBeGreaterThanOrEqual(plan.throughput[0]?.during ?? Infinity);
      expect([point, findViolations(bench)]).toEqual([point, []]);
    }
  });

  it('retires a VM by telling it to leave', () => {
    const { bench } = prepareMove();
    const plan = proposeIntent(bench, { type: 'retire-vm', vm: 'vm-2' });
    bench.ask(0, { type: 'confirm-plan', plan: plan.id });
    bench.run(MOVE_MS);
    expect([...bench.drained]).toEqual(['vm-2']);
    expect(statusOf(bench, plan)).toBe('done');
    bench.drained.clear();
    bench.restart(2);
    bench.run(MOVE_MS);
    expect([...bench.drained]).toEqual([]);
    const again = proposeIntent(bench, { type: 'retire-vm', vm: 'vm-2' });
    bench.ask(0, { type: 'confirm-plan', plan: again.id });
    bench.run(MOVE_MS);
    expect([...bench.drained]).toEqual(['vm-2']);
    expect(statusOf(bench, again)).toBe('done');
    expect(findViolations(bench)).toEqual([]);
  });

  it('retires an engine, which is told to leave and drained before it is taken out', () => {
    const { bench } = prepareMove();
    const e2 = bench.engines.get('e2');
    if (e2 === undefined) throw new Error('no e2');
    e2.running = 1;
    const plan = proposeIntent(bench, { type: 'retire-backend-server', server: 'e2' });
    bench.ask(0, { type: 'confirm-plan', plan: plan.id });
    bench.run(MOVE_MS);
    expect(e2.state.leaving).toBe(true);
    expect(bench.configuration().backendServer.get('e2')).toMatchObject({ leaving: true });
    e2.running = 0;
    bench.run(MOVE_MS);
    expect(bench.configuration().engine.has('e2')).toBe(false);
    expect(statusOf(bench, plan)).toBe('done');
    expect(findViolations(bench)).toEqual([]);
  });

  it('retires an engine that is lost, once the fleet says so too', () => {
    const { bench } = prepareMove();
    const e2 = bench.engines.get('e2');
    if (e2 === undefined) throw new Error('no e2');
    e2.isDown = true;
    const plan = proposeIntent(bench, { type: 'retire-backend-server', server: 'e2' });
    bench.ask(0, { type: 'confirm-plan', plan: plan.id });
    bench.run(20_000);
    expect(statusOf(bench, plan)).toBe('running');
    bench.markUnusable(['e2']);
    bench.run(100_000);
    expect(statusOf(bench, plan)).toBe('done');
    expect(bench.configuration().backendServer.has('e2')).toBe(false);
    expect(findViolations(bench)).toEqual([]);
  });

  it('undoes a plan whose engine cannot be reached', () => {
    const { bench, plan } = prepareMove();
    const before = objectsOf(bench.configuration());
    const e2 = bench.engines.get('e2');
    if (e2 === undefined) throw new Error('no e2');
    bench.ask(1, { type: 'confirm-plan', plan: plan.id });
    for (let waited = 0; recordOf(bench, plan)?.step !== 2; waited += 1) {
      expect(waited).toBeLessThan(1000);
      bench.run(10);
    }
    e2.isDown = true;
    bench.run(60_000);
    e2.isDown = false;
    bench.run(REST_MS);
    expect(statusOf(bench, plan)).toBe('undone');
    expect(objectsOf(bench.configuration())).toEqual(before);
    expect(findViolations(bench)).toEqual([]);
  });
});
