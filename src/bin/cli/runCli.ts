/** The command-line tool for operators. It sends its requests to any VM that it can reach. */

import { readFileSync } from 'node:fs';
import yargs from 'yargs';
import { formatError } from '../../adapters/formatError';
import { runCommand } from './command';
import type { CommonOptions } from './command';
import { EXIT } from './getExitCode';
import { addPlanCommands } from './planCommands';
import { formatAudit, formatBackends, formatExplanation, formatFields } from './views';
import { formatPlan, formatPlans, formatVms } from './views';

const commonOptions = {
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

const addNoOptions = (args: yargs.Argv): yargs.Argv => args;

/**
 * Runs one command.
 *
 * @param commandLine the arguments, without the program's name
 */
export async function runCli(commandLine: readonly string[]): Promise<void> {
  await yargs([...commandLine])
    .scriptName('citronpass')
    .options(commonOptions)
    .command('status', 'what the VM that answers holds and does', addNoOptions, (argv) =>
      printView(argv, '/status', formatFields),
    )
    .command('vms', 'the VMs, as the one that answers sees them', addNoOptions, (argv) =>
      printView(argv, '/vms', formatVms),
    )
    .command('backends', 'the backend servers and their health', addNoOptions, (argv) =>
      printView(argv, '/backends', formatBackends),
    )
    .command(
      'explain <id>',
      'what became of a request, or how a backend server stands',
      (args) => args.positional('id', { type: 'string', demandOption: true }),
      (argv) => {
        const path = `/explain/${encodeURIComponent(argv.id)}`;
        return runCommand(readOptions(argv), (client) => client.askEach(path), formatExplanation);
      },
    )
    .command(
      'plan',
      'state an intent and get a plan; nothing changes yet',
      (args) =>
        addPlanCommands(args, (intent, argv) => {
          const body = { intent, reason: argv.reason };
          return runCommand(
            readOptions(argv),
            (client) => client.ask('POST', '/intents', body),
            formatPlan,
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
          ? printView(argv, '/plans', formatPlans)
          : printView(argv, `/plans/${encodeURIComponent(argv.plan)}`, formatPlan),
    )
    .command('confirm <plan>', 'carry a plan out', planArgument, (argv) =>
      changePlan(argv, 'confirm'),
    )
    .command('cancel <plan>', 'drop a plan, or undo what it did', planArgument, (argv) =>
      changePlan(argv, 'cancel'),
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
        return printView(argv, `/audit?${query.toString()}`, formatAudit);
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

function readOptions(argv: unknown): CommonOptions {
  return toOptions(argv as Arguments);
}

function printView(
  argv: unknown,
  path: string,
  show: Parameters<typeof runCommand>[2],
): Promise<void> {
  return runCommand(readOptions(argv), (client) => client.ask('GET', path), show);
}

function changePlan(argv: { readonly plan: string }, verb: 'confirm' | 'cancel'): Promise<void> {
  const path = `/plans/${encodeURIComponent(argv.plan)}/${verb}`;
  return runCommand(readOptions(argv), (client) => client.ask('POST', path, {}), formatFields);
}
