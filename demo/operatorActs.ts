/** Acts in which operators change what runs, under traffic. */

import { callJson } from './http';
import { createWorkspaceIntent } from './site';
import { sleep } from './sleep';
import type { Act, Stage } from './stage';

/** Time in which a leaving backend server may still get new work, milliseconds. */
const LEAVING_GRACE_MS = 1000;

const WATCH_MS = 1500;

/** Two operators confirm plans for the same object at the same moment. */
export const conflict: Act = {
  title: 'two operators confirm conflicting plans at the same moment',
  play: async ({ operator, say }) => {
    const base = createWorkspaceIntent('kiambu');
    if (base.type !== 'put-workspace') return ['there is no workspace to change'];
    const plans = await Promise.all(
      [2, 3].map(async (share) => {
        const intent = { ...base, workspace: { ...base.workspace, share } };
        const stated = await operator.ask('POST', '/intents', { intent, reason: `share ${share}` });
        return (stated.body as { readonly plan: { readonly id: string } }).plan.id;
      }),
    );
    const confirmed = await Promise.all(
      plans.map((plan) => operator.ask('POST', `/plans/${plan}/confirm`, {})),
    );
    const statuses = confirmed.map(({ status }) => status);
    const winners = statuses.filter((status) => status === 200).length;
    const loser = confirmed.find(({ status }) => status !== 200);
    const hasFreshPlan = JSON.stringify(loser?.body ?? {}).includes('"plan"');
    say(`they got ${statuses.join(' and ')}${hasFreshPlan ? ', the loser with a fresh plan' : ''}`);
    return winners === 1 ? [] : [`${winners} of two conflicting plans went through`];
  },
};

/** A plain service's backend server and an engine are retired while they serve. */
export const retire: Act = {
  title: 'a plain backend server and an engine are retired under traffic',
  play: async (stage) => {
    const { operator, platform, say } = stage;
    const servers = ['counter-1', 'engine-0'] as const;
    const findings = await Promise.all(
      servers.map(async (server) => {
        const intent = { type: 'retire-backend-server', server } as const;
        const { revision } = await operator.carryOut(intent, 'worn out');
        say(`${server} is out with revision ${revision}`);
        await sleep(LEAVING_GRACE_MS);
        const before = await countRuns(stage, server);
        await sleep(WATCH_MS);
        const after = await countRuns(stage, server);
        return after > before ? [`${server} got ${after - before} runs after it was out`] : [];
      }),
    );
    const left = platform.engines.size - 1;
    say(`neither got new work; ${left} engines are left`);
    return findings.flat();
  },
};

async function countRuns({ platform }: Stage, server: string): Promise<number> {
  const standIn = platform.engines.get(server) ?? platform.plain.get(server);
  const { body } = await callJson(`${standIn?.url ?? ''}/log`);
  return (body as { readonly runs: readonly unknown[] }).runs.length;
}
