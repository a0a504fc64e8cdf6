/** Subcommands of `plan`; each builds one intent. */

import type { Argv } from 'yargs';
import type { EngineRole } from '../../engines/engine';
import type { Intent } from '../../plans/intent';
import { EXIT } from './getExitCode';
import { readIntentFile } from './readIntentFile';

/** Submits an intent; the arguments contain its reason and the options that all commands share. */
export type SubmitIntent = (intent: Intent, argv: { readonly reason: string }) => Promise<void>;

const reason = {
  reason: { type: 'string', demandOption: true, describe: 'why, for the audit trail' },
} as const;

const splitNames = (value: string): readonly string[] => value.split(',').filter(Boolean);

/**
 * Adds the subcommands.
 *
 * @param parser yargs inside the command `plan`
 * @param submitIntent submits the intent of a subcommand
 */
export function addPlanCommands(parser: Argv, submitIntent: SubmitIntent): Argv {
  return parser
    .command(
      'file <file>',
      'any intent, from a TOML or JSON file',
      (args) => args.positional('file', { type: 'string', demandOption: true }).options(reason),
      async (argv) => {
        const result = readIntentFile(argv.file);
        if (result.type === 'read') {
          await submitIntent(result.intent, argv);
        } else {
          console.error(result.detail);
          process.exitCode = EXIT.usage;
        }
      },
    )
    .command(
      'retire-backend-server <server>',
      'take a backend server out, once it is drained',
      (args) => args.positional('server', { type: 'string', demandOption: true }).options(reason),
      (argv) => submitIntent({ type: 'retire-backend-server', server: argv.server }, argv),
    )
    .command(
      'retire-vm <id>',
      'make a VM drain and end',
      (args) => args.positional('id', { type: 'string', demandOption: true }).options(reason),
      (argv) => submitIntent({ type: 'retire-vm', vm: argv.id }, argv),
    )
    .command(
      'retire-service <workspace> <service>',
      'take a service away from its callers',
      (args) =>
        args
          .positional('workspace', { type: 'string', demandOption: true })
          .positional('service', { type: 'string', demandOption: true })
          .options(reason),
      (argv) => {
        const { workspace, service } = argv;
        return submitIntent({ type: 'retire-service', workspace, service }, argv);
      },
    )
    .command(
      'move-model <model>',
      'move a model from some engines to others',
      (args) =>
        args
          .positional('model', { type: 'string', demandOption: true })
          .options({
            from: { type: 'string', default: '', describe: 'engines, parted by commas' },
            to: { type: 'string', demandOption: true, describe: 'engines, parted by commas' },
          })
          .options(reason),
      (argv) => {
        const [from, to] = [splitNames(argv.from), splitNames(argv.to)];
        return submitIntent({ type: 'move-model', model: argv.model, from, to }, argv);
      },
    )
    .command(
      'set-engine <engine>',
      "change an engine's role, model version or adapter",
      (args) =>
        args
          .positional('engine', { type: 'string', demandOption: true })
          .options({
            role: { choices: ['mixed', 'prefill', 'decode', 'idle'] as const },
            'model-version': { type: 'string' },
            adapter: { type: 'string' },
          })
          .options(reason),
      (argv) =>
        submitIntent(
          createSetEngine(argv.engine, argv.role, argv.modelVersion, argv.adapter),
          argv,
        ),
    )
    .demandCommand(1, 'Name what to plan');
}

function createSetEngine(
  engine: string,
  role: EngineRole | undefined,
  modelVersion: string | undefined,
  adapter: string | undefined,
): Intent {
  return {
    type: 'set-engine',
    engine,
    ...(role === undefined ? {} : { role }),
    ...(modelVersion === undefined ? {} : { modelVersion }),
    ...(adapter === undefined ? {} : { adapter }),
  };
}
