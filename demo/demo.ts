/**
 * The demo: `npm run demo`. Starts the stand-in platform, engines of four kinds, plain services and
 * three daemons as processes on loopback, sends real traffic, and breaks one thing after another. The
 * last line is one JSON object; the exit code is 0 only where everything held that must hold.
 */

import { acts } from './acts';
import { checkRuns } from './checkRuns';
import { createCaller } from './createCaller';
import { createTally } from './createTally';
import { callJson } from './http';
import { describeSite } from './describeSite';
import { createOperator } from './operator';
import { sleep } from './sleep';
import type { Stage } from './stage';
import { OPERATOR_TOKEN, startFleet } from './startFleet';
import { startPlatform } from './startPlatform';
import { startProcesses } from './startProcesses';
import type { Processes } from './startProcesses';
import { startTraffic } from './startTraffic';

const VMS = ['vm-1', 'vm-2', 'vm-3'] as const;

/** Time between two looks at what is in force, milliseconds. */
const POLL_MS = 50;

async function main(): Promise<void> {
  const processes = startProcesses();
  const startedAt = Date.now();
  const say = (line: string): void => {
    console.log(`${((Date.now() - startedAt) / 1000).toFixed(1).padStart(5)} s  ${line}`);
  };
  try {
    const findings = await run(processes, say);
    process.exitCode = findings.length === 0 ? 0 : 1;
  } catch (error) {
    console.error(error);
    process.exitCode = 1;
  } finally {
    processes.stopAll();
  }
  process.exit();
}

async function run(processes: Processes, say: Stage['say']): Promise<readonly string[]> {
  const platform = await startPlatform(processes);
  say(`stand-ins run: table, list of VMs, ${platform.engines.size} engines of 4 kinds, 4 desks`);
  const fleet = startFleet(processes, platform);
  try {
    await Promise.all(VMS.map((id) => fleet.start(id)));
    say(`${VMS.length} VMs run`);
    const known = (): readonly string[] => [...fleet.vms().values()].map(({ url }) => url);
    const operator = createOperator(() => known().at(-1) ?? '');
    const plans = await describeSite(operator, platform);
    say(`${plans} intents were planned, confirmed and carried out`);
    say(`revision ${await untilInForce(known())} is in force on every VM`);
    const tally = createTally();
    const notRun = new Map<string, string>();
    let callers = 0;
    const onNotRun = (path: string, why: string): void => {
      notRun.set(path, why);
    };
    const cutsAt = new Map<string, number>();
    const onCut = (url: string, why: string): void => {
      cutsAt.set(url, (cutsAt.get(url) ?? 0) + 1);
      say(`a stream was cut at ${url} ${why}`);
    };
    const stage: Stage = {
      platform,
      fleet,
      operator,
      tally,
      cutsAt,
      say,
      createCaller: (workspace) => {
        callers += 1;
        const name = `caller-${callers}`;
        return createCaller({ workspace, name, tally, known, onNotRun, onCut });
      },
    };
    const findings = await play(stage);
    return await close(stage, notRun, findings);
  } finally {
    fleet.close();
  }
}

/** Waits until every VM says that the last revision is accepted, and gives its number. */
async function untilInForce(urls: readonly string[]): Promise<number> {
  for (;;) {
    const answers = await Promise.all(
      urls.map((url) => callJson(`${url}/v1/operator/status`, { token: OPERATOR_TOKEN })),
    );
    const states = answers.map(({ body }) => body as Readonly<Record<string, number>>);
    const highest = Math.max(...states.map(({ head = 0 }) => head));
    if (states.every(({ accepted }) => accepted === highest)) return highest;
    await sleep(POLL_MS);
  }
}

/** Plays all acts under steady traffic, and gives what did not hold. */
async function play(stage: Stage): Promise<readonly string[]> {
  const traffic = startTraffic(stage.createCaller);
  const findings: string[] = [];
  for (const { title, play: playAct } of acts) {
    stage.say(`-- ${title}`);
    findings.push(...(await playAct(stage)));
    const { requests, answered, notRun, unknown, cutStreams } = stage.tally.counts();
    stage.say(
      `so far ${requests} requests: ${answered} answered, ${notRun} not run, ${unknown} unknown, ` +
        `${cutStreams} streams cut`,
    );
  }
  await traffic.stop();
  return findings;
}

/** Holds the stand-ins' logs against what callers were told, and prints the last line. */
async function close(
  { platform, tally, say }: Stage,
  notRun: ReadonlyMap<string, string>,
  findings: readonly string[],
): Promise<readonly string[]> {
  const counts = tally.counts();
  const check = await checkRuns(platform, notRun);
  const all = [
    ...findings,
    ...(check.doubled > 0 ? [`${check.doubled} writes ran twice`] : []),
    ...check.falseNotRun.map((path) => `${path} ran, but was refused: ${notRun.get(path) ?? ''}`),
    ...(check.doubledLayers > 0 ? [`${check.doubledLayers} layers ran twice for a token`] : []),
    ...(counts.wrongAnswers > 0 ? [`${counts.wrongAnswers} answers were wrong`] : []),
  ];
  for (const finding of all) say(`DID NOT HOLD: ${finding}`);
  say(all.length === 0 ? 'everything held that must hold' : `${all.length} things did not hold`);
  console.log(
    JSON.stringify({
      ...counts,
      ...check,
      falseNotRun: check.falseNotRun.length,
      held: all.length === 0,
    }),
  );
  return all;
}

void main();
