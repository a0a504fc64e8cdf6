/**
 * Command line of the fault soak: `npm run fault-soak -- --seeds FROM..TO --faults N`, or `--cases` for the
 * runs that have failed. Prints a line for each run and writes the daemons' log of a run with findings to the
 * current folder.
 */

import { writeFileSync } from 'node:fs';
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { bundleDaemon } from './bundleDaemon';
import { bundleProductionDaemon } from './bundleProductionDaemon';
import { FATAL_KINDS } from './createFatalCallers';
import { runFaultSoak } from './runFaultSoak';
import type { FaultSoakOptions } from './runFaultSoak';
import { SOAK_CASES } from './soakCases';

async function main(): Promise<void> {
  const argv = await yargs(hideBin(process.argv))
    .usage('fault-soak [options]')
    .options({
      seeds: {
        type: 'string',
        default: '1..1',
        describe: 'range of seeds FROM..TO, both included; one run per seed',
      },
      faults: { type: 'number', default: 16, describe: 'number of faults per run' },
      fatal: {
        type: 'boolean',
        default: true,
        describe: 'also send requests that end each server which runs them',
      },
      limits: {
        type: 'boolean',
        default: true,
        describe: 'also have servers announce limits of requests',
      },
      partitions: {
        type: 'boolean',
        default: true,
        describe: 'also partition VMs from all servers',
      },
      upgrade: {
        type: 'boolean',
        default: false,
        describe: 'let VMs change between this version and the one in production',
      },
      cases: {
        type: 'boolean',
        default: false,
        describe: 'run the cases that have failed instead',
      },
    })
    .strict()
    .parseAsync();
  const runs = argv.cases
    ? SOAK_CASES
    : listRuns(argv.seeds, {
        faults: argv.faults,
        fatalKinds: argv.fatal ? FATAL_KINDS : [],
        hasLimits: argv.limits,
        hasPartitions: argv.partitions,
      });
  const program = await bundleDaemon();
  const otherProgram = argv.upgrade ? await bundleProductionDaemon() : undefined;
  const failed: number[] = [];
  for (const run of runs) {
    const { seed } = run;
    const { faults, sent, served, findings, log } = await runFaultSoak({
      ...run,
      program,
      otherProgram,
    });
    console.log(JSON.stringify({ seed, sent, served, findings, faults }));
    if (findings.length === 0) continue;
    failed.push(seed);
    writeFileSync(`fault-soak-${seed}.log`, `${log.join('\n')}\n`);
  }
  console.log(JSON.stringify({ seeds: runs.length, failed }));
  if (failed.length > 0) process.exitCode = 1;
}

function listRuns(
  seeds: string,
  options: Omit<FaultSoakOptions, 'seed' | 'program' | 'otherProgram'>,
): readonly Omit<FaultSoakOptions, 'program'>[] {
  const [from, to] = seeds.split('..').map(Number);
  if (from === undefined || to === undefined || !(to >= from)) {
    throw new RangeError('--seeds must have the form FROM..TO, with FROM not above TO');
  }
  return Array.from({ length: to - from + 1 }, (_, index) => ({
    seed: from + index,
    ...options,
  }));
}

for (const signal of ['SIGINT', 'SIGTERM'] as const) {
  process.once(signal, () => process.exit(1));
}
void main();
