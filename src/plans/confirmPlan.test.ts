import type { Plan } from './plan';
import { confirmIntent, proposeIntent } from './testing/confirmIntent';
import { createPlanBench, type PlanBench } from './testing/planBench';
import { engineIntent, engineOf, serviceIntent, SITE, WORKSPACE } from './testing/siteIntents';

/** A bench with a site, a workspace and one engine that holds all of model desk. */
function prepare(count = 2): PlanBench {
  const bench = createPlanBench({ seed: 7, count });
  confirmIntent(bench, SITE);
  confirmIntent(bench, WORKSPACE);
  bench.engines.set('e1', {
    state: {
      model: '',
      modelVersion: '',
      layers: { from: 0, to: 0 },
      role: 'idle',
      leaving: false,
    },
    highest: 0,
    running: 0,
    isDown: false,
    checksFencing: true,
    skewMs: 0,
  });
  confirmIntent(bench, engineIntent(engineOf('e1')), 10_000);
  return bench;
}

describe('confirmPlan', () => {
  it('changes nothing before the confirm and commits with it', () => {
    const bench = prepare();
    const before = bench.configuration();
    const plan = proposeIntent(bench, serviceIntent('repairs'));
    expect(bench.configuration()).toEqual(before);
    const confirmed = bench.ask(1, { type: 'confirm-plan', plan: plan.id });
    bench.run(1000);
    expect(confirmed.answer?.status).toBe(200);
    expect([...bench.configuration().service.keys()]).toEqual(['kiambu/repairs']);
  });

  it('lets exactly one of two conflicting plans win and gives the other operator a fresh one', () => {
    const bench = prepare();
    const slow = proposeIntent(bench, serviceIntent('repairs', 'desk', 1300), 0);
    const fast = proposeIntent(bench, serviceIntent('repairs', 'desk', 900), 1);
    const one = bench.ask(0, { type: 'confirm-plan', plan: slow.id });
    const other = bench.ask(1, { type: 'confirm-plan', plan: fast.id });
    bench.run(2000);
    const statuses = [one.answer?.status, other.answer?.status].sort();
    expect(statuses).toEqual([200, 409]);
    const loser = one.answer?.status === 409 ? one : other;
    const body = loser.answer?.body as { reason: string; outcome: string; plan: Plan };
    expect(body).toMatchObject({ reason: 'plan-outdated', outcome: 'not-run' });
    const again = bench.ask(0, { type: 'confirm-plan', plan: body.plan.id });
    bench.run(1000);
    expect(again.answer?.status).toBe(200);
  });

  it('lets plans through that do not touch, although both move the head', () => {
    const bench = prepare();
    const repairs = proposeIntent(bench, serviceIntent('repairs'), 0);
    const quotes = proposeIntent(bench, serviceIntent('quotes'), 1);
    const one = bench.ask(0, { type: 'confirm-plan', plan: repairs.id });
    const other = bench.ask(1, { type: 'confirm-plan', plan: quotes.id });
    bench.run(2000);
    expect([one.answer?.status, other.answer?.status]).toEqual([200, 200]);
    expect(bench.configuration().service.size).toBe(2);
  });
});
