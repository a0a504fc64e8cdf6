import { findViolations, listPlanRecords } from './testing/findViolations';
import { confirmIntent } from './testing/confirmIntent';
import type { PlanBench } from './testing/createPlanBench';
import { prepareBench } from './testing/prepareBench';
import { createEngine, createServiceIntent } from './testing/siteIntents';

/** Engines e1 and e2 serve model desk; e3 is idle. */
function prepareSpare(): PlanBench {
  const engines = [createEngine('e1'), createEngine('e2'), createEngine('e3', { role: 'idle' })];
  const bench = prepareBench({ engines, count: 3 });
  confirmIntent(bench, createServiceIntent('repairs'));
  return bench;
}

describe('proposeRepairs', () => {
  it('proposes one repair for all VMs, states what it restores, and changes nothing', () => {
    const bench = prepareSpare();
    const before = bench.configuration();
    bench.markUnusable(['e1']);
    bench.run(60_000);
    const repairs = listPlanRecords(bench).filter(({ intent }) => intent.type === 'replace-engine');
    expect(repairs.map(({ status, plan }) => [status, plan.summary])).toEqual([
      [
        'proposed',
        'Replace e1 by e3 for layers 0 to 7 of model desk; restores up to 5555 tokens/s on them',
      ],
    ]);
    expect(bench.configuration()).toEqual(before);
  });

  it('repairs without a reply of the failed engine once an operator confirms', () => {
    const bench = prepareSpare();
    const e1 = bench.engines.get('e1');
    if (e1 === undefined) throw new Error('no e1');
    e1.isDown = true;
    bench.markUnusable(['e1']);
    bench.run(60_000);
    const [repair] = listPlanRecords(bench).filter(({ status }) => status === 'proposed');
    bench.ask(1, { type: 'confirm-plan', plan: repair?.plan.id ?? '' });
    bench.run(20_000);
    expect(bench.configuration().engine.get('e3')).toMatchObject({ model: 'desk', role: 'mixed' });
    expect(bench.configuration().engine.get('e1')).toMatchObject({ role: 'idle' });
    expect(findViolations(bench)).toEqual([]);
  });

  it('proposes nothing for a short outage', () => {
    const bench = prepareSpare();
    bench.markUnusable(['e1']);
    bench.run(5000);
    bench.markUnusable([]);
    bench.run(60_000);
    expect(listPlanRecords(bench).some(({ intent }) => intent.type === 'replace-engine')).toBe(
      false,
    );
  });
});
