import type { Plan } from './plan';
import { confirmIntent, proposeIntent } from './testing/confirmIntent';
import { NO_FAULTS } from './testing/fakeTable';
import { prepareBench } from './testing/prepareBench';
import { createServiceIntent, WORKSPACE } from './testing/siteIntents';

describe('confirmPlan', () => {
  it('changes nothing before the confirmation and commits with it', () => {
    const bench = prepareBench();
    const before = bench.configuration();
    const plan = proposeIntent(bench, createServiceIntent('repairs'));
    expect(bench.configuration()).toEqual(before);
    const confirmed = bench.ask(1, { type: 'confirm-plan', plan: plan.id });
    bench.run(1000);
    expect(confirmed.answer?.status).toBe(200);
    expect([...bench.configuration().service.keys()]).toEqual(['kiambu/repairs']);
  });

  it('confirms exactly one of two conflicting plans and gives the other operator a new plan', () => {
    const bench = prepareBench();
    const slow = proposeIntent(bench, createServiceIntent('repairs', 'desk', 1300), 0);
    const fast = proposeIntent(bench, createServiceIntent('repairs', 'desk', 900), 1);
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

  it('confirms two independent plans, although both change the head', () => {
    const bench = prepareBench();
    const repairs = proposeIntent(bench, createServiceIntent('repairs'), 0);
    const quotes = proposeIntent(bench, createServiceIntent('quotes'), 1);
    const one = bench.ask(0, { type: 'confirm-plan', plan: repairs.id });
    const other = bench.ask(1, { type: 'confirm-plan', plan: quotes.id });
    bench.run(2000);
    expect([one.answer?.status, other.answer?.status]).toEqual([200, 200]);
    expect(bench.configuration().service.size).toBe(2);
  });

  it('commits once when replies are lost', () => {
    const bench = prepareBench();
    const plan = proposeIntent(bench, createServiceIntent('repairs'));
    const before = bench.configuration().revision;
    bench.table.setFaults({ ...NO_FAULTS, lostReplies: 1 });
    const confirmed = bench.ask(0, { type: 'confirm-plan', plan: plan.id });
    bench.run(5000);
    expect(confirmed.answer).toMatchObject({ status: 200, body: { revision: before + 1 } });
    expect(bench.configuration().revision).toBe(before + 1);
  });

  it('commits once when requests are lost for a while', () => {
    const bench = prepareBench();
    const plan = proposeIntent(bench, createServiceIntent('repairs'));
    const before = bench.configuration().revision;
    bench.table.setFaults({ ...NO_FAULTS, lostRequests: 1 });
    const confirmed = bench.ask(0, { type: 'confirm-plan', plan: plan.id });
    bench.run(3000);
    expect(confirmed.answer).toBeUndefined();
    bench.table.setFaults(NO_FAULTS);
    bench.run(3000);
    expect(confirmed.answer).toMatchObject({ status: 200, body: { revision: before + 1 } });
    expect(bench.configuration().revision).toBe(before + 1);
  });

  it('commits once when a write takes effect after its sender has sent it again', () => {
    const bench = prepareBench();
    const plan = proposeIntent(bench, createServiceIntent('repairs'));
    const before = bench.configuration().revision;
    bench.table.setFaults({ ...NO_FAULTS, lateWrites: 1 });
    const confirmed = bench.ask(0, { type: 'confirm-plan', plan: plan.id });
    bench.run(15_000);
    expect(confirmed.answer).toMatchObject({ status: 200, body: { revision: before + 1 } });
    expect(bench.configuration().revision).toBe(before + 1);
  });

  it('answers not-run while the store is down, and runs nothing later', () => {
    const bench = prepareBench();
    const plan = proposeIntent(bench, createServiceIntent('repairs'));
    bench.table.setDown(true);
    const refused = bench.ask(0, { type: 'confirm-plan', plan: plan.id });
    bench.run(5000);
    expect(refused.answer).toMatchObject({ status: 503, body: { outcome: 'not-run' } });
    bench.table.setDown(false);
    bench.run(30_000);
    expect(bench.configuration().service.size).toBe(0);
    const confirmed = bench.ask(1, { type: 'confirm-plan', plan: plan.id });
    bench.run(1000);
    expect(confirmed.answer?.status).toBe(200);
  });

  it('answers unknown, never not-run, when the store stops answering after a write', () => {
    const bench = prepareBench();
    const plan = proposeIntent(bench, createServiceIntent('repairs'));
    bench.table.setFaults({ ...NO_FAULTS, lostReplies: 1 });
    const confirmed = bench.ask(0, { type: 'confirm-plan', plan: plan.id });
    for (let waited = 0; bench.configuration().service.size === 0; waited += 1) {
      expect(waited).toBeLessThan(1000);
      bench.run(1);
    }
    bench.table.setDown(true);
    bench.run(30_000);
    expect(confirmed.answer).toMatchObject({ status: 504, body: { outcome: 'unknown' } });
    bench.table.setDown(false);
    const shown = bench.ask(1, { type: 'show-plan', plan: plan.id });
    bench.run(1000);
    expect(shown.answer).toMatchObject({ status: 200, body: { status: 'done' } });
  });

  it('confirms an old plan if the changes since do not affect it', () => {
    const bench = prepareBench();
    const plan = proposeIntent(bench, createServiceIntent('repairs'));
    if (WORKSPACE.type !== 'put-workspace') throw new Error('no workspace');
    confirmIntent(bench, { ...WORKSPACE, workspace: { ...WORKSPACE.workspace, share: 5 } });
    confirmIntent(bench, createServiceIntent('quotes'));
    bench.run(3_600_000);
    const confirmed = bench.ask(1, { type: 'confirm-plan', plan: plan.id });
    bench.run(1000);
    expect(confirmed.answer?.status).toBe(200);
  });

  it('refuses an old plan if an object that it depends on has changed', () => {
    const bench = prepareBench();
    const plan = proposeIntent(bench, createServiceIntent('repairs'));
    confirmIntent(bench, createServiceIntent('repairs', 'desk', 500));
    const confirmed = bench.ask(1, { type: 'confirm-plan', plan: plan.id });
    bench.run(1000);
    expect(confirmed.answer).toMatchObject({
      status: 409,
      body: { failed: ['service kiambu/repairs has changed since the plan was made'] },
    });
  });

  it('confirms a plan only once, and names the operator who confirmed it', () => {
    const bench = prepareBench();
    const plan = confirmIntent(bench, createServiceIntent('repairs'));
    const again = bench.ask(1, { type: 'confirm-plan', plan: plan.id });
    bench.run(1000);
    const detail = `Plan ${plan.id} is done (confirmed by amina)`;
    expect(again.answer).toMatchObject({ status: 409, body: { detail } });
  });

  it('confirms only for operators with the required role', () => {
    const bench = prepareBench();
    const plan = proposeIntent(bench, createServiceIntent('repairs'));
    const by = { name: 'brian', role: 'plan' } as const;
    const refused = bench.ask(1, { type: 'confirm-plan', plan: plan.id }, by);
    bench.run(1000);
    expect(refused.answer).toMatchObject({ status: 403, body: { outcome: 'not-run' } });
    expect(bench.configuration().service.size).toBe(0);
  });
});
