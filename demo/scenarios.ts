/** The scenarios of the demo, in order; background traffic continues through all of them. */

import { callJson } from './http';
import { confirmConflictingPlans, retireServers } from './operatorScenarios';
import { PLAIN_SERVICES, TOKENS } from './site';
import { sleep } from './sleep';
import type { Scenario, ScenarioContext } from './scenario';
import type { DemoVm } from './startFleet';
import type { EngineLogEntry } from '../standins/engine/startEngine';

/** Length of the draft whose stage is killed; long enough to kill it halfway through. */
const LONG_DRAFT_TOKENS = 150;

const STEADY_STATE_MS = 2500;
const OUTAGE_MS = 3500;
/** Longer than any lease, so that the VM resumes without one. */
const FREEZE_MS = 5000;
const RECOVERY_MS = 2000;
const DRAIN_TIMEOUT_MS = 15_000;

const steadyState: Scenario = {
  title: 'steady state: drafts, bookings, deposits, seat holds, tickets and lookups',
  run: async ({ tally }) => {
    await sleep(STEADY_STATE_MS);
    return tally.counts().answered > 0 ? [] : ['no request was answered in the steady state'];
  },
};

const killStage: Scenario = {
  title: 'an engine is killed in the middle of a draft',
  run: async (context) => {
    const { tally, log, createCaller } = context;
    const before = tally.counts();
    let request = '';
    const draft = createCaller('kiambu').draft('A long bench note.', LONG_DRAFT_TOKENS, (id) => {
      request = id;
    });
    const engine = await findBusyEngine(context, () => request);
    context.platform.engines.get(engine)?.process.signal('SIGKILL');
    log(`killed ${engine} while it ran layers for ${request}`);
    await draft;
    const after = tally.counts();
    const findings = after.wrongAnswers > before.wrongAnswers ? ['a draft has wrong content'] : [];
    const truncated = after.cutStreams - before.cutStreams;
    log(`the draft has finished; ${truncated} streams were truncated meanwhile`);
    return truncated > 0
      ? [...findings, `${truncated} streams were truncated after the engine was killed`]
      : findings;
  },
};

const killVm: Scenario = {
  title: 'a VM is killed and restarted',
  run: async ({ fleet, log }) => {
    fleet.vms().get('vm-2')?.process.signal('SIGKILL');
    await fleet.remove('vm-2');
    log('killed vm-2; its callers switch to the other VMs');
    await sleep(RECOVERY_MS);
    await fleet.start('vm-2');
    log('restarted vm-2 with a higher incarnation');
    await sleep(RECOVERY_MS);
    return [];
  },
};

const freezeVm: Scenario = {
  title: 'a VM is frozen past its lease, then resumes',
  run: async ({ fleet, log }) => {
    const vm = fleet.vms().get('vm-3');
    vm?.process.signal('SIGSTOP');
    log(`froze vm-3 for ${FREEZE_MS} ms`);
    await sleep(FREEZE_MS);
    vm?.process.signal('SIGCONT');
    const isReady = await isReadyWithin(vm, RECOVERY_MS * 2);
    log(isReady ? 'vm-3 resumed and is ready again' : 'vm-3 resumed');
    return isReady ? [] : ['vm-3 was not ready again after it resumed'];
  },
};

const storeOutage: Scenario = {
  title: 'the table service is down',
  run: async ({ platform, operator, log }) => {
    const setOutage = (outage: boolean) =>
      callJson(`${platform.table.url}/faults`, { method: 'POST', body: { outage } });
    await setOutage(true);
    const { status } = await operator.ask('GET', '/plans');
    log(`an operator who lists plans gets ${status}; running work continues`);
    await sleep(OUTAGE_MS);
    await setOutage(false);
    await sleep(RECOVERY_MS);
    const after = await operator.ask('GET', '/plans');
    log(`the table service is back; the operator gets ${after.status}`);
    const findings = status < 500 ? ['plans were answered while the table was down'] : [];
    return after.status === 200 ? findings : [...findings, 'plans are still not available'];
  },
};

const drainVm: Scenario = {
  title: 'a VM drains',
  run: async ({ fleet, truncatedByUrl, log }) => {
    const vm = fleet.vms().get('vm-1');
    const countTruncated = (): number => truncatedByUrl.get(vm?.url ?? '') ?? 0;
    const before = countTruncated();
    vm?.process.signal('SIGTERM');
    const timeout = sleep(DRAIN_TIMEOUT_MS).then(() => 'timeout' as const);
    const end = await Promise.race([vm?.process.exited, timeout]);
    await fleet.remove('vm-1');
    const truncated = countTruncated() - before;
    log(`vm-1 exited with ${end ?? 'no code'}; it truncated ${truncated} streams`);
    const findings = end === 0 ? [] : [`the drain ended with ${end ?? 'a signal'}`];
    return truncated > 0 ? [...findings, `the drain truncated ${truncated} streams`] : findings;
  },
};

const refuseOtherWorkspace: Scenario = {
  title: 'callers can use only the services of their own workspace',
  run: async ({ fleet, log }) => {
    const { id, lookups } = PLAIN_SERVICES.derwent;
    const vm = [...fleet.vms().values()][0];
    const reply = await callJson(`${vm?.url ?? ''}/v1/services/${id}${lookups}1`, {
      token: TOKENS.kiambu,
    });
    log(`a caller of kiambu who calls derwent's service gets ${reply.status}`);
    return reply.status >= 400 ? [] : ["a caller reached another workspace's service"];
  },
};

/** All scenarios, in order. */
export const scenarios: readonly Scenario[] = [
  steadyState,
  refuseOtherWorkspace,
  confirmConflictingPlans,
  retireServers,
  killStage,
  killVm,
  freezeVm,
  storeOutage,
  drainVm,
];

/** Waits until an engine of a later stage has run a third of the answer, and returns its id. */
async function findBusyEngine(
  { platform }: ScenarioContext,
  request: () => string,
): Promise<string> {
  const minPosition = LONG_DRAFT_TOKENS / 3;
  for (;;) {
    for (const [id, { url }] of platform.engines) {
      const { body } = await callJson(`${url}/log`);
      const { runs } = body as { readonly runs: readonly EngineLogEntry[] };
      const isBusy = runs.some(
        (run) => run.request === request() && run.position >= minPosition && run.from > 0,
      );
      if (isBusy) return id;
    }
    await sleep(20);
  }
}

async function isReadyWithin(vm: DemoVm | undefined, ms: number): Promise<boolean> {
  const endsAt = Date.now() + ms;
  while (Date.now() < endsAt) {
    const reply = await callJson(`${vm?.url ?? ''}/readyz`).catch(() => undefined);
    if (reply?.status === 200) return true;
    await sleep(100);
  }
  return false;
}
