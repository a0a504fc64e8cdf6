/**
 * The demo: `npm run demo`. Starts the stand-in platform, engines of four kinds, plain services and
 * three daemons as processes on loopback, sends traffic and injects one fault after another. The last
 * line is a JSON object; the exit code is 0 only if every check passed.
 */

import { scenarios } from './scenarios';
import { checkRuns } from './checkRuns';
import { createCaller } from './createCaller';
import { createTally } from './createTally';
import { callJson } from './http';
import { describeSite } from './describeSite';
import { createOperator } from './operator';
import { sleep } from './sleep';
import type { ScenarioContext } from './scenario';
import { OPERATOR_TOKEN, startFleet } from './startFleet';
import { startPlatform } from './startPlatform';
import { startProcesses } from './startProcesses';
import type { Processes } from './startProcesses';
import { startTraffic } from './startTraffic';

const VMS = ['vm-1', 'vm-2', 'vm-3'] as const;

/** Interval between two polls of the applied revision, milliseconds. */
const POLL_MS = 50;

async function main(): Promise<void> {
  const processes = startProcesses();
  const startedAt = Date.now();
  const log = (line: string): void => {
    console.log(`${((Date.now() - startedAt) / 1000).toFixed(1).padStart(5)} s  ${line}`);
  };
  try {
    const findings = await run(processes, log);
    process.exitCode = findings.length === 0 ? 0 : 1;
  } catch (error) {
    console.error(error);
    process.exitCode = 1;
  } finally {
    processes.stopAll();
  }
  process.exit();
}

async function run(processes: Processes, log: ScenarioContext['log']): Promise<readonly string[]> {
  const platform = await startPlatform(processes);
  log(
    `stand-ins started: table, membership list, ${platform.engines.size} engines of 4 kinds, 4 plain servers`,
  );
  const fleet = startFleet(processes, platform);
  try {
    await Promise.all(VMS.map((id) => fleet.start(id)));
    log(`${VMS.length} VMs started`);
    const known = (): readonly string[] => [...fleet.vms().values()].map(({ url }) => url);
    const operator = createOperator(() => known().at(-1) ?? '');
    const plans = await describeSite(operator, platform);
    log(`${plans} intents were planned, confirmed and executed`);
    log(`revision ${await waitUntilApplied(known())} is applied on every VM`);
    const tally = createTally();
    const notRun = new Map<string, string>();
    let callers = 0;
    const onNotRun = (path: string, why: string): void => {
      notRun.set(path, why);
    };
    const truncatedByUrl = new Map<string, number>();
    const onTruncated = (url: string, why: string): void => {
      truncatedByUrl.set(url, (truncatedByUrl.get(url) ?? 0) + 1);
      log(`a stream was truncated at ${url} ${why}`);
    };
    const context: ScenarioContext = {
      platform,
      fleet,
      operator,
      tally,
      truncatedByUrl,
      log,
      createCaller: (workspace) => {
        callers += 1;
        const name = `caller-${callers}`;
        return createCaller({ workspace, name, tally, known, onNotRun, onTruncated });
      },
    };
    const findings = await runScenarios(context);
    return await reportResults(context, notRun, findings);
  } finally {
    fleet.close();
  }
}

/** Waits until every VM reports the last revision as accepted, and returns its number. */
async function waitUntilApplied(urls: readonly string[]): Promise<number> {
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

/** Runs all scenarios under background traffic and returns the failed checks. */
async function runScenarios(context: ScenarioContext): Promise<readonly string[]> {
  const traffic = startTraffic(context.createCaller);
  const findings: string[] = [];
  for (const { title, run: runScenario } of scenarios) {
    context.log(`-- ${title}`);
    findings.push(...(await runScenario(context)));
    const { requests, answered, notRun, unknown, cutStreams } = context.tally.counts();
    context.log(
      `so far ${requests} requests: ${answered} answered, ${notRun} not run, ${unknown} unknown, ` +
        `${cutStreams} streams truncated`,
    );
  }
  await traffic.stop();
  return findings;
}

/** Compares the stand-ins' logs with the outcomes that callers received, and prints the last line. */
async function reportResults(
  { platform, tally, log }: ScenarioContext,
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
  for (const finding of all) log(`check failed: ${finding}`);
  log(all.length === 0 ? 'every check passed' : `${all.length} checks failed`);
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
