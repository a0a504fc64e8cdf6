/**
 * The long randomised run: `npm run soak -- --seed N --steps M`, or `--seeds FROM..TO`. A failure
 * prints its seed and a shrunk trace; the last line is JSON.
 */

import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { failures } from './soak/findings';
import { readTrace } from './soak/readTrace';
import { planSoak } from './soak/planSoak';
import { runSoak, type SoakRun } from './soak/runSoak';
import { hasFailed, shrinkSoak } from './soak/shrinkSoak';
import { summarizeSoak } from './soak/summarizeSoak';

/** Lines of a shrunk trace that are printed. */
const TRACE_LINES = 60;

/** Failing seeds that are shrunk; more are only named. */
const MAX_SHRUNK = 3;

async function main(): Promise<void> {
  const argv = await yargs(hideBin(process.argv))
    .usage('soak [options]')
    .options({
      seed: { type: 'number', default: 1, describe: 'seed of the run' },
      seeds: { type: 'string', describe: 'FROM..TO: a run for each seed, both included' },
      steps: { type: 'number', default: 300, describe: 'calls, requests, changes and faults' },
    })
    .strict()
    .parseAsync();
  const runs: SoakRun[] = [];
  let shrunk = 0;
  for (const seed of listSeeds(argv.seeds, argv.seed)) {
    const run = runSoak(planSoak(seed, argv.steps));
    runs.push(run);
    if (!hasFailed(run)) continue;
    console.log(`seed ${seed} failed: ${describe(run)}`);
    shrunk += 1;
    if (shrunk <= MAX_SHRUNK) printShrunk(seed, argv.steps);
  }
  console.log(JSON.stringify(summarizeSoak(runs)));
  if (runs.some(hasFailed)) process.exitCode = 1;
}

function listSeeds(range: string | undefined, seed: number): readonly number[] {
  if (range === undefined) return [seed];
  const parts = /^(\d+)\.\.(\d+)$/.exec(range);
  if (parts === null) throw new RangeError('Write seeds as FROM..TO');
  const [from, to] = [Number(parts[1]), Number(parts[2])];
  return Array.from({ length: to - from + 1 }, (_, index) => from + index);
}

function describe({ findings }: SoakRun): string {
  return failures
    .filter((failure) => findings[failure] > 0)
    .map((failure) => `${failure} ${findings[failure]}`)
    .join(', ');
}

function printShrunk(seed: number, steps: number): void {
  const { plan, run } = shrinkSoak(planSoak(seed, steps));
  console.log(`shrunk to ${plan.faults.length} faults: ${describe(run)}`);
  for (const line of readTrace(run.trace).slice(-TRACE_LINES)) console.log(`  ${line}`);
}

void main();
