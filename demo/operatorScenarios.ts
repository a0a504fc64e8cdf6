/** Scenarios in which operators change the configuration under traffic. */

import { callJson } from './http';
import { createWorkspaceIntent } from './site';
import { sleep } from './sleep';
import type { Scenario, ScenarioContext } from './scenario';

/** Time in which a leaving backend server can still receive new work, milliseconds. */
const LEAVING_GRACE_MS = 1000;

const OBSERVATION_MS = 1500;

/** Confirms two plans for the same object concurrently. */
export const confirmConflictingPlans: Scenario = {
  title: 'two operators confirm conflicting plans at the same moment',
  run: async ({ operator, log }) => {
    const base = createWorkspaceIntent('kiambu');
    if (base.type !== 'put-workspace') return ['there is no workspace to change'];
    const plans = await Promise.all(
      [2, 3].map(async (share) => {
        const intent = { ...base, workspace: { ...base.workspace, share } };
        const stated = await operator.ask('POST', '/intents', {
          intent,
          reason: `share ${share}`,
        });
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
    log(
      `they got ${statuses.join(' and ')}${hasFreshPlan ? ', the refused one with a new plan' : ''}`,
    );
    return winners === 1 ? [] : [`${winners} of two conflicting plans were accepted`];
  },
};

/** Retires a backend server of a plain service and an engine under traffic. */
export const retireServers: Scenario = {
  title: 'a plain backend server and an engine are retired under traffic',
  run: async (context) => {
    const { operator, platform, log } = context;
    const servers = ['counter-1', 'engine-0'] as const;
    const findings = await Promise.all(
      servers.map(async (server) => {
        const intent = { type: 'retire-backend-server', server } as const;
        const { revision } = await operator.executeIntent(intent, 'worn out');
        log(`${server} is retired with revision ${revision}`);
        await sleep(LEAVING_GRACE_MS);
        const before = await countRuns(context, server);
        await sleep(OBSERVATION_MS);
        const after = await countRuns(context, server);
        return after > before ? [`${server} got ${after - before} runs after it was retired`] : [];
      }),
    );
    const left = platform.engines.size - 1;
    log(`both are retired; ${left} engines are left`);
    return findings.flat();
  },
};

async function countRuns({ platform }: ScenarioContext, server: string): Promise<number> {
  const standIn = platform.engines.get(server) ?? platform.plain.get(server);
  const { body } = await callJson(`${standIn?.url ?? ''}/log`);
  return (body as { readonly runs: readonly unknown[] }).runs.length;
}
