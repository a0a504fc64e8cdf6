#!/usr/bin/env node
/** The command-line tool for operators: `citronpass COMMAND`. */

import { hideBin } from 'yargs/helpers';
import { runCli } from './cli/runCli';

void runCli(hideBin(process.argv));
