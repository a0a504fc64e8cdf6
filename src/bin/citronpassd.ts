#!/usr/bin/env node
/** The daemon: `citronpassd --settings FILE [--check]`. */

import { hideBin } from 'yargs/helpers';
import { formatError } from '../adapters/formatError';
import { runDaemon } from './runDaemon';

runDaemon(hideBin(process.argv)).catch((error: unknown) => {
  console.error(formatError(error));
  process.exitCode = 1;
});
