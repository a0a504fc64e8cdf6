/** The operators' command line. Any VM that can be reached will do. */

import { readFileSync } from 'node:fs';
import yargs from 'yargs';
import { formatError } from '../../adapters/formatError';
import { runCommand } from './command';
import type { CommonOptions } from './command';
import { EXIT } from './exitCode';
import { addPlanCommands } from './planCommands';
import { showAudit, showBackends, showExplained, showFields } from './views';
import { showPlan, showPlans, showVms } from './views';

const common = {
  vm: {
    type: 'string',
    array: true,
    default: (process.env.CITRONPASS_VMS ?? '').split(',').filter(Boolean),
    defaultDescription: 'CITRONPASS_VMS',
    describe: 'base URL of a VM; the first one that answers is asked',
  },
  'token-file': { type: 'string', describe: 'file with your token, or CITRONPASS_TOKEN' },
  output: { choices: ['table', 'json', 'wide'] as const, default: 'table' as const },
  watch: { type: 'number', default: 0, describe: 'look again every so many seconds' },
} as const;

interface Arguments {
  readonly vm: readonly string[];
  readonly tokenFile?: string | undefined;
  readonly output: CommonOptions['output'];
  readonly watch: number;
}

function toOptions({ vm, tokenFile, output, watch }: Arguments): CommonOptions {
  const token =
    tokenFile === undefined ? process.env.CITRONPASS_TOKEN : readFileSync(tokenFile, 'utf8');
  return { vm, output, watch, token: token?.trim() ?? '' };
}

const plain = (args: yargs.Argv): yargs.Argv => args;

/**
 * Runs one command.
 *
 * @param words the command line, without the program
 */
export async function runCli(words: readonly string[]): Promise<void> {
  await yargs([...words])
    .scriptName('citronpass')
    .options(common)
    .command('status', 'what the VM that answers holds and does', plain, (argv) =>
      look(argv, '/status', showFields),
    )
    .command('vms', 'the VMs, as the one that answers sees them', plain, (argv) =>
      look(argv, '/vms', showVms),
    )
    .command('backends', 'the backend servers and their health', plain, (argv) =>
      look(argv, '/backends', showBackends),
    )
    .command(
      'explain <id>',
      'what became of a request, or how a backend server stands',
      (args) => args.positional('id', { type: 'string', demandOption: true }),
      (argv) => {
        const path = `/explain/${encodeURIComponent(argv.id)}`;
        return runCommand(toArguments(argv), (client) => client.askEach(path), showExplained);
      },
    )
    .command(
      'plan',
      'state an intent and get a plan; nothing changes yet',
      (args) =>
        addPlanCommands(args, (intent, argv) => {
          const body = { intent, reason: argv.reason };
          return runCommand(
            toArguments(argv),
            (client) => client.ask('POST', '/intents', body),
            showPlan,
          );
        }),
      () => undefined,
    )
    .command(
      'plans [plan]',
      'all plans, or one of them in full',
      (args) => args.positional('plan', { type: 'string' }),
      (argv) =>
        argv.plan === undefined
          ? look(argv, '/plans', showPlans)
          : look(argv, `/plans/${encodeURIComponent(argv.plan)}`, showPlan),
    )
    .command('confirm <plan>', 'carry a plan out', planArgument, (argv) => act(argv, 'confirm'))
    .command('cancel <plan>', 'drop a plan, or undo what it did', planArgument, (argv) =>
      act(argv, 'cancel'),
    )
    .command(
      'audit',
      'who changed what, when and why',
      (args) =>
        args.options({
          since: { type: 'string', describe: 'date and time' },
          service: { type: 'string', describe: 'workspace/service' },
          who: { type: 'string', describe: 'operator' },
          limit: { type: 'number', default: 50 },
          verify: { type: 'boolean', default: false, describe: 'check the whole chain' },
        }),
      ({ since, service, who, limit, verify, ...argv }) => {
        const query = new URLSearchParams({
          limit: String(limit),
          verify: String(verify),
          ...(since === undefined ? {} : { since: String(Date.parse(since)) }),
          ...(service === undefined ? {} : { service }),
          ...(who === undefined ? {} : { who }),
        });
        return look(argv, `/audit?${query.toString()}`, showAudit);
      },
    )
    .completion('completion', 'print a script for completion in the shell')
    .demandCommand(1, 'Name a command')
    .strict()
    .fail((message, error) => {
      console.error(message || formatError(error));
      process.exit(EXIT.usage);
    })
    .parseAsync();
}

function planArgument(args: yargs.Argv): yargs.Argv<{ plan: string }> {
  return args.positional('plan', { type: 'string', demandOption: true });
}

function toArguments(argv: unknown): CommonOptions {
  return toOptions(argv as Arguments);
}

function look(argv: unknown, path: string, show: Parameters<typeof runCommand>[2]): Promise<void> {
  return runCommand(toArguments(argv), (client) => client.ask('GET', path), show);
}

function act(argv: { readonly plan: string }, verb: 'confirm' | 'cancel'): Promise<void> {
  const path = `/plans/${encodeURIComponent(argv.plan)}/${verb}`;
  return runCommand(toArguments(argv), (client) => client.ask('POST', path, {}), showFields);
}
