/** The acts of the demo, in order; steady traffic goes on through all of them. */

import { callJson } from './http';
import { conflict, retire } from './operatorActs';
import { PLAIN_SERVICES, TOKENS } from './site';
import { sleep } from './sleep';
import type { Act, Stage } from './stage';
import type { DemoVm } from './startFleet';
import type { EngineLogEntry } from '../standins/engine/startEngine';

/** Tokens of the draft whose stage is killed; long enough to be in the middle of it. */
const LONG_DRAFT_TOKENS = 150;

const CALM_MS = 2500;
const OUTAGE_MS = 3500;
/** Longer than any lease, so that the frozen VM wakes without one. */
const FREEZE_MS = 5000;
const RECOVERY_MS = 2000;
const DRAIN_TIMEOUT_MS = 15_000;

const calm: Act = {
  title: 'calm: drafts, bookings, deposits, seat holds, tickets and lookups',
  play: async ({ tally }) => {
    await sleep(CALM_MS);
    return tally.counts().answered > 0 ? [] : ['nothing was answered in the calm'];
  },
};

const killStage: Act = {
  title: 'a stage dies in the middle of a draft',
  play: async (stage) => {
    const { tally, say, createCaller } = stage;
    const before = tally.counts();
    let request = '';
    const draft = createCaller('kiambu').draft('A long bench note.', LONG_DRAFT_TOKENS, (id) => {
      request = id;
    });
    const engine = await findBusyEngine(stage, () => request);
    stage.platform.engines.get(engine)?.process.signal('SIGKILL');
    say(`killed ${engine} while it ran layers for ${request}`);
    await draft;
    const after = tally.counts();
    const findings = after.wrongAnswers > before.wrongAnswers ? ['a draft came out wrong'] : [];
    const cut = after.cutStreams - before.cutStreams;
    say(`the draft came whole and right; ${cut} streams were cut meanwhile`);
    return cut > 0 ? [...findings, `${cut} streams were cut where a stage died`] : findings;
  },
};

const killVm: Act = {
  title: 'a VM dies, and its next life takes its place',
  play: async ({ fleet, say }) => {
    fleet.vms().get('vm-2')?.process.signal('SIGKILL');
    await fleet.remove('vm-2');
    say('killed vm-2; its callers go to the others');
    await sleep(RECOVERY_MS);
    await fleet.start('vm-2');
    say('vm-2 is back under a higher incarnation');
    await sleep(RECOVERY_MS);
    return [];
  },
};

const freezeVm: Act = {
  title: 'a VM is frozen past its lease, then wakes',
  play: async ({ fleet, say }) => {
    const vm = fleet.vms().get('vm-3');
    vm?.process.signal('SIGSTOP');
    say(`froze vm-3 for ${FREEZE_MS} ms`);
    await sleep(FREEZE_MS);
    vm?.process.signal('SIGCONT');
    const isReady = await isReadyWithin(vm, RECOVERY_MS * 2);
    say(isReady ? 'vm-3 woke, caught up and takes work again' : 'vm-3 woke');
    return isReady ? [] : ['vm-3 did not take work again after it woke'];
  },
};

const storeOutage: Act = {
  title: 'the table service is down',
  play: async ({ platform, operator, say }) => {
    const setOutage = (outage: boolean) =>
      callJson(`${platform.table.url}/faults`, { method: 'POST', body: { outage } });
    await setOutage(true);
    const { status } = await operator.ask('GET', '/plans');
    say(`an operator who asks for plans gets ${status}; what runs goes on`);
    await sleep(OUTAGE_MS);
    await setOutage(false);
    await sleep(RECOVERY_MS);
    const after = await operator.ask('GET', '/plans');
    say(`the table is back; the operator gets ${after.status}`);
    const findings = status < 500 ? ['plans were answered while the table was down'] : [];
    return after.status === 200 ? findings : [...findings, 'plans are not back'];
  },
};

const drainVm: Act = {
  title: 'a VM drains',
  play: async ({ fleet, cutsAt, say }) => {
    const vm = fleet.vms().get('vm-1');
    const countCuts = (): number => cutsAt.get(vm?.url ?? '') ?? 0;
    const before = countCuts();
    vm?.process.signal('SIGTERM');
    const timeout = sleep(DRAIN_TIMEOUT_MS).then(() => 'timeout' as const);
    const end = await Promise.race([vm?.process.exited, timeout]);
    await fleet.remove('vm-1');
    const cut = countCuts() - before;
    say(`vm-1 ended by itself with ${end ?? 'no code'}; it cut ${cut} streams`);
    const findings = end === 0 ? [] : [`the drain ended with ${end ?? 'a signal'}`];
    return cut > 0 ? [...findings, `the drain cut ${cut} streams`] : findings;
  },
};

const refuseStranger: Act = {
  title: 'callers see only their own workspace',
  play: async ({ fleet, say }) => {
    const { id, lookups } = PLAIN_SERVICES.derwent;
    const vm = [...fleet.vms().values()][0];
    const reply = await callJson(`${vm?.url ?? ''}/v1/services/${id}${lookups}1`, {
      token: TOKENS.kiambu,
    });
    say(`a caller of kiambu who asks derwent's service gets ${reply.status}`);
    return reply.status >= 400 ? [] : ["a caller reached another workspace's service"];
  },
};

/** All acts, in order. */
export const acts: readonly Act[] = [
  calm,
  refuseStranger,
  conflict,
  retire,
  killStage,
  killVm,
  freezeVm,
  storeOutage,
  drainVm,
];

/** Waits until an engine has run layers for the request, past the middle of its answer. */
async function findBusyEngine({ platform }: Stage, request: () => string): Promise<string> {
  const middle = LONG_DRAFT_TOKENS / 3;
  for (;;) {
    for (const [id, { url }] of platform.engines) {
      const { body } = await callJson(`${url}/log`);
      const { runs } = body as { readonly runs: readonly EngineLogEntry[] };
      const isBusy = runs.some(
        (run) => run.request === request() && run.position >= middle && run.from > 0,
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
