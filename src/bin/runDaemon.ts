/** The command line of the daemon. */

import { readFileSync } from 'node:fs';
import yargs from 'yargs';
import { formatError } from '../adapters/formatError';
import { EXIT_USAGE } from '../node/constants';
import { parseSettings } from '../node/parseSettings';
import type { Settings, SettingsResult } from '../node/settings';
import { startDaemon } from '../node/startDaemon';
import type { Daemon } from '../node/startDaemon';
import { createSignalHandler } from './createSignalHandler';

/**
 * Validates the settings and starts the daemon; with `--check`, only validates them.
 *
 * @param commandLine the arguments, without the program's name
 */
export async function runDaemon(commandLine: readonly string[]): Promise<void> {
  const argv = await yargs([...commandLine])
    .scriptName('citronpassd')
    .usage('citronpassd --settings FILE [--check]')
    .options({
      settings: { type: 'string', demandOption: true, describe: 'TOML file with the settings' },
      check: { type: 'boolean', default: false, describe: 'check the settings and exit' },
    })
    .strict()
    .fail((message, error) => {
      console.error(message || formatError(error));
      process.exit(EXIT_USAGE);
    })
    .parseAsync();
  const result = readSettings(argv.settings);
  if (result.type === 'invalid') {
    for (const { file, key, message } of result.errors)
      console.error(`${file}: ${key}: ${message}`);
    process.exitCode = EXIT_USAGE;
    return;
  }
  if (argv.check) {
    console.log(`${argv.settings}: ok`);
    return;
  }
  await startWithSignalHandlers(result.settings);
}

function readSettings(file: string): SettingsResult {
  try {
    return parseSettings(readFileSync(file, 'utf8'), { file });
  } catch (error) {
    const message = `can't be read: ${formatError(error)}`;
    return { type: 'invalid', errors: [{ file, key: '(whole file)', message }] };
  }
}

async function startWithSignalHandlers(settings: Settings): Promise<void> {
  const daemon = await startDaemon(settings, {
    onRetired: (drained) => {
      void drained.then(() => stopAndExit(daemon));
    },
  });
  const onSignal = createSignalHandler(daemon, (code) => process.exit(code));
  process.on('SIGTERM', onSignal);
  process.on('SIGINT', onSignal);
}

async function stopAndExit(daemon: Daemon): Promise<void> {
  await daemon.stop();
  process.exit(0);
}
