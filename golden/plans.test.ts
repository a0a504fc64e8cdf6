import type { Plan } from '../src/plans/plan';
import { proposeIntent } from '../src/plans/testing/confirmIntent';
import { prepareBench } from '../src/plans/testing/prepareBench';
import { createServiceIntent } from '../src/plans/testing/siteIntents';
import { createSession } from './createSession';

interface OperatorAnswer {
  readonly status: number;
  readonly body: unknown;
}

/** Summarizes the answer that an operator gets. */
function describeAnswer(answer: OperatorAnswer | undefined): string {
  const body = answer?.body as {
    readonly reason?: string;
    readonly outcome?: string;
    readonly revision?: number;
    readonly plan?: Plan;
  };
  const parts = [
    `status ${String(answer?.status)}`,
    body.revision === undefined ? '' : `revision ${body.revision}`,
    body.reason === undefined ? '' : `${body.outcome ?? ''}: ${body.reason}`,
    body.plan === undefined || answer?.status === 200
      ? ''
      : `fresh plan on revision ${body.plan.basedOn}`,
  ];
  return parts.filter((part) => part !== '').join(', ');
}

describe('plans golden', () => {
  it('conflicting plans', () => {
    const session = createSession();
    const bench = prepareBench();
    const slow = proposeIntent(bench, createServiceIntent('repairs', 'desk', 1300), 0);
    const fast = proposeIntent(bench, createServiceIntent('repairs', 'desk', 900), 1);
    session.addHeading('Two operators plan the same service, each on a VM of their own');
    for (const plan of [slow, fast]) {
      const steps = plan.steps.map(({ type }) => type).join(', ');
      session.addHeading(`${plan.summary}, on revision ${plan.basedOn}: ${steps}`);
    }
    const one = bench.ask(0, { type: 'confirm-plan', plan: slow.id });
    const other = bench.ask(1, { type: 'confirm-plan', plan: fast.id });
    bench.run(2000);
    session.addHeading('Both confirm at the same moment');
    session.addHeading(`the first is told: ${describeAnswer(one.answer)}`);
    session.addHeading(`the second is told: ${describeAnswer(other.answer)}`);
    session.addHeading(`in force: revision ${bench.configuration().revision}`);
    expect(session.text()).toMatchSnapshot();
  });
});
