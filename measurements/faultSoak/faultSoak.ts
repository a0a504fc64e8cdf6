/**
 * Command line of the fault soak: `npm run fault-soak -- --seeds FROM..TO --faults N`. Prints a line for
 * each seed and writes the daemons' log of a seed with findings to the current folder.
 */

import { writeFileSync } from 'node:fs';
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { bundleDaemon } from './bundleDaemon';
import { runFaultSoak } from './runFaultSoak';

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
    })
    .strict()
    .parseAsync();
  const [from, to] = argv.seeds.split('..').map(Number);
  if (from === undefined || to === undefined || !(to >= from)) {
    throw new RangeError('--seeds must have the form FROM..TO, with FROM not above TO');
  }
  const program = await bundleDaemon();
  const failed: number[] = [];
  for (let seed = from; seed <= to; seed += 1) {
    const { faults, sent, served, findings, log } = await runFaultSoak({
      seed,
      faults: argv.faults,
      program,
    });
    console.log(JSON.stringify({ seed, sent, served, findings, faults }));
    if (findings.length === 0) continue;
    failed.push(seed);
    writeFileSync(`fault-soak-${seed}.log`, `${log.join('\n')}\n`);
  }
  console.log(JSON.stringify({ seeds: to - from + 1, failed }));
  if (failed.length > 0) process.exitCode = 1;
}

for (const signal of ['SIGINT', 'SIGTERM'] as const) {
  process.once(signal, () => process.exit(1));
}
void main();
