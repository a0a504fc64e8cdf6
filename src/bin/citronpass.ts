#!/usr/bin/env node
/** The operators' command line: `citronpass COMMAND`. */

import { hideBin } from 'yargs/helpers';
import { runCli } from './cli/runCli';

void runCli(hideBin(process.argv));
