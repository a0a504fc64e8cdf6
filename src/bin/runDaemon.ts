/** The daemon's command line. */

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
 * Checks the settings and starts the daemon, or only checks them.
 *
 * @param words the command line, without the program
 */
export async function runDaemon(words: readonly string[]): Promise<void> {
  const argv = await yargs([...words])
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
    for (const { file, key, message } of result.mistakes)
      console.error(`${file}: ${key}: ${message}`);
    process.exitCode = EXIT_USAGE;
    return;
  }
  if (argv.check) {
    console.log(`${argv.settings}: ok`);
    return;
  }
  await startAndWatch(result.settings);
}

function readSettings(file: string): SettingsResult {
  try {
    return parseSettings(readFileSync(file, 'utf8'), { file });
  } catch (error) {
    const message = `can't be read: ${formatError(error)}`;
    return { type: 'invalid', mistakes: [{ file, key: '(whole file)', message }] };
  }
}

async function startAndWatch(settings: Settings): Promise<void> {
  const daemon = await startDaemon(settings, {
    onRetired: (drained) => {
      void drained.then(() => end(daemon));
    },
  });
  const onSignal = createSignalHandler(daemon, (code) => process.exit(code));
  process.on('SIGTERM', onSignal);
  process.on('SIGINT', onSignal);
}

async function end(daemon: Daemon): Promise<void> {
  await daemon.stop();
  process.exit(0);
}
