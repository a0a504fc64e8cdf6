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

/** Time for the move on an undisturbed bench, with a margin, milliseconds. */
const MOVE_MS = 20_000;

/**
 * Times at which the move is disturbed, milliseconds; they fall between any two of its steps and
 * writes.
 */
const DISTURBANCE_TIMES_MS = Array.from({ length: 40 }, (_item, index) => index * 300);

/** Time for two successions and an undo, milliseconds. */
const RECOVERY_MS = 200_000;

/** Model desk on e1, model seat on e2, and a service on desk; the move loads desk on e2. */
function prepareMove(checksFencing = true): { bench: PlanBench; plan: Plan } {
  const engines = [createEngine('e1'), createEngine('e2', { model: 'seat' })];
  const bench = prepareBench({ engines, count: 3, checksFencing });
  confirmIntent(bench, createServiceIntent('repairs'));
  return { bench, plan: proposeIntent(bench, MOVE) };
}

function findRecord(bench: PlanBench, { id }: Plan): PlanRecord | undefined {
  return listPlanRecords(bench).find(({ plan }) => plan.id === id);
}

function getStatus(bench: PlanBench, plan: Plan): string | undefined {
  return findRecord(bench, plan)?.status;
}

/** Returns the node that executes a plan, or node 1 if there is none. */
function findHolder(bench: PlanBench): number {
  const index = bench.nodes.findIndex(({ state }) => state.executions.size > 0);
  return index < 0 ? 1 : index;
}

function extractObjects(configuration: Configuration): unknown {
  return { ...configuration, revision: 0 };
}

/** Runs in small steps and returns the lowest capacity of model desk that was applied. */
function runAndTrackCapacity(bench: PlanBench, forMs: number, stepMs = 100): number {
  let lowest = Infinity;
  for (let elapsedMs = 0; elapsedMs < forMs; elapsedMs += stepMs) {
    bench.run(stepMs);
    lowest = Math.min(lowest, predictModelThroughput(bench.configuration(), 'desk'));
  }
  return lowest;
}

describe('advanceExecution', () => {
  it('moves a model to a new engine without falling below the predicted capacity', () => {
    const { bench, plan } = prepareMove();
    bench.ask(1, { type: 'confirm-plan', plan: plan.id });
    const lowest = runAndTrackCapacity(bench, MOVE_MS);
    expect(getStatus(bench, plan)).toBe('done');
    expect(lowest).toBeGreaterThanOrEqual(plan.throughput[0]?.during ?? Infinity);
    expect(bench.configuration().engine.get('e2')).toMatchObject({ model: 'desk', role: 'mixed' });
    expect(bench.configuration().engine.get('e1')).toMatchObject({ role: 'idle' });
    expect(findViolations(bench)).toEqual([]);
  });

  it('sends no order to an engine while requests run on it', () => {
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

  it.each([true, false])('continues after a crash at any point (fencing checked: %s)', (checks) => {
    for (const point of DISTURBANCE_TIMES_MS) {
      const { bench, plan } = prepareMove(checks);
      bench.ask(1, { type: 'confirm-plan', plan: plan.id });
      bench.run(point);
      bench.restart(findHolder(bench));
      bench.run(RECOVERY_MS);
      expect([point, getStatus(bench, plan), findViolations(bench)]).toEqual([
        point,
        point === 0 ? expect.stringMatching(/done|proposed/) : 'done',
        [],
      ]);
    }
  });

  it.each([true, false])(
    'applies no stale order of a holder that resumes (fencing checked: %s)',
    (checks) => {
      for (const point of DISTURBANCE_TIMES_MS) {
        const { bench, plan } = prepareMove(checks);
        bench.sendDelayMs = 3000;
        bench.ask(1, { type: 'confirm-plan', plan: plan.id });
        bench.run(point);
        bench.pause(1, 60_000);
        bench.run(RECOVERY_MS);
        expect([point, getStatus(bench, plan), findViolations(bench)]).toEqual([point, 'done', []]);
      }
    },
  );

  it.each([true, false])('drops an order that is sent late (fencing checked: %s)', (checks) => {
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
    bench.pause(findHolder(bench), 60_000);
    bench.run(59_000);
    expect(bench.taken.length).toBe(taken + 1);
    bench.run(RECOVERY_MS);
    expect(bench.taken.length).toBe(taken + 1);
    expect(getStatus(bench, plan)).toBe('done');
    expect(findViolations(bench)).toEqual([]);
  });

  it('continues after a store outage at any point, and sends no order during it', () => {
    for (const point of DISTURBANCE_TIMES_MS) {
      const { bench, plan } = prepareMove();
      bench.ask(1, { type: 'confirm-plan', plan: plan.id });
      bench.run(Math.max(point, 200));
      bench.table.setDown(true);
      bench.run(15_000);
      const taken = bench.taken.length;
      bench.run(60_000);
      expect(bench.taken.length).toBe(taken);
      bench.table.setDown(false);
      bench.run(RECOVERY_MS);
      expect([point, getStatus(bench, plan), findViolations(bench)]).toEqual([point, 'done', []]);
    }
  });

  it('undoes a plan that is cancelled at any point', () => {
    for (const point of DISTURBANCE_TIMES_MS) {
      const { bench, plan } = prepareMove();
      const before = extractObjects(bench.configuration());
      bench.ask(1, { type: 'confirm-plan', plan: plan.id });
      bench.run(point);
      const cancelled = bench.ask(2, { type: 'cancel-plan', plan: plan.id });
      const lowest = runAndTrackCapacity(bench, MOVE_MS, 400);
      bench.run(RECOVERY_MS);
      const status = getStatus(bench, plan);
      expect(['done', 'undone', 'cancelled']).toContain(status);
      if (cancelled.answer?.status === 200) expect(status).not.toBe('done');
      if (status !== 'done') expect(extractObjects(bench.configuration())).toEqual(before);
      expect(lowest).toBeGreaterThanOrEqual(plan.throughput[0]?.during ?? Infinity);
      expect([point, findViolations(bench)]).toEqual([point, []]);
    }
  });

  it('retires a VM by ordering it to leave', () => {
    const { bench } = prepareMove();
    const plan = proposeIntent(bench, { type: 'retire-vm', vm: 'vm-2' });
    bench.ask(0, { type: 'confirm-plan', plan: plan.id });
    bench.run(MOVE_MS);
    expect([...bench.drained]).toEqual(['vm-2']);
    expect(getStatus(bench, plan)).toBe('done');
    bench.drained.clear();
    bench.restart(2);
    bench.run(MOVE_MS);
    expect([...bench.drained]).toEqual([]);
    const again = proposeIntent(bench, { type: 'retire-vm', vm: 'vm-2' });
    bench.ask(0, { type: 'confirm-plan', plan: again.id });
    bench.run(MOVE_MS);
    expect([...bench.drained]).toEqual(['vm-2']);
    expect(getStatus(bench, again)).toBe('done');
    expect(findViolations(bench)).toEqual([]);
  });

  it('retires an engine, which is ordered to leave and drained before it is removed', () => {
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
    expect(getStatus(bench, plan)).toBe('done');
    expect(findViolations(bench)).toEqual([]);
  });

  it('retires an unreachable engine once the fleet reports it as unusable', () => {
    const { bench } = prepareMove();
    const e2 = bench.engines.get('e2');
    if (e2 === undefined) throw new Error('no e2');
    e2.isDown = true;
    const plan = proposeIntent(bench, { type: 'retire-backend-server', server: 'e2' });
    bench.ask(0, { type: 'confirm-plan', plan: plan.id });
    bench.run(20_000);
    expect(getStatus(bench, plan)).toBe('running');
    bench.markUnusable(['e2']);
    bench.run(100_000);
    expect(getStatus(bench, plan)).toBe('done');
    expect(bench.configuration().backendServer.has('e2')).toBe(false);
    expect(findViolations(bench)).toEqual([]);
  });

  it('undoes a plan whose engine cannot be reached', () => {
    const { bench, plan } = prepareMove();
    const before = extractObjects(bench.configuration());
    const e2 = bench.engines.get('e2');
    if (e2 === undefined) throw new Error('no e2');
    bench.ask(1, { type: 'confirm-plan', plan: plan.id });
    for (let waited = 0; findRecord(bench, plan)?.step !== 2; waited += 1) {
      expect(waited).toBeLessThan(1000);
      bench.run(10);
    }
    e2.isDown = true;
    bench.run(60_000);
    e2.isDown = false;
    bench.run(RECOVERY_MS);
    expect(getStatus(bench, plan)).toBe('undone');
    expect(extractObjects(bench.configuration())).toEqual(before);
    expect(findViolations(bench)).toEqual([]);
  });
});
