/**
 * Runs one measurement by name: `npm run measure -- NAME --seed N`. The last line is JSON.
 */

import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { configuration } from './configuration';
import { control } from './control';
import { daemon } from './daemon';
import type { Measurement } from './measurement';
import { membership } from './membership';
import { operations } from './operations';
import { overload } from './overload';
import { placement } from './placement';
import { plans } from './plans';
import { plansFaults } from './plansFaults';
import { poison } from './poison';
import { recovery } from './recovery';
import { stampede } from './stampede';
import { throughput } from './throughput';
import { throughputLedger } from './throughputLedger';

const measurements: Readonly<Record<string, Measurement>> = {
  configuration,
  control,
  daemon,
  membership,
  operations,
  overload,
  placement,
  plans,
  'plans-faults': plansFaults,
  poison,
  recovery,
  stampede,
  throughput,
  ledger: throughputLedger,
};

async function main(): Promise<void> {
  const argv = await yargs(hideBin(process.argv))
    .usage('measure NAME [options]')
    .options({
      seed: { type: 'number', default: 1, describe: 'seed of the run' },
      nodes: { type: 'number', default: 8, describe: 'VMs' },
      engines: { type: 'number', default: 40, describe: 'engines' },
      workspaces: { type: 'number', default: 10, describe: 'workspaces' },
    })
    .demandCommand(1, 1, `Name one of: ${Object.keys(measurements).join(', ')}`)
    .strictOptions()
    .parseAsync();
  const name = String(argv._[0]);
  const measurement = measurements[name];
  if (measurement === undefined) {
    console.error(`No measurement ${name}; there are: ${Object.keys(measurements).join(', ')}`);
    process.exitCode = 2;
    return;
  }
  const figures = await measurement(argv, (line) => {
    console.log(line);
  });
  console.log(JSON.stringify(figures));
}

void main();
