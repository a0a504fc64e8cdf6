#!/usr/bin/env node
/** The daemon: `citronpassd --settings FILE [--check]`. */

import { hideBin } from 'yargs/helpers';
import { errorText } from '../adapters/errorText';
import { runDaemon } from './runDaemon';

runDaemon(hideBin(process.argv)).catch((error: unknown) => {
  console.error(errorText(error));
  process.exitCode = 1;
});
