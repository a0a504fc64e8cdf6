'use strict';

/**
 * Runs the test suite and closes with `N passed, N failed`.
 *
 * Arguments go to jest as they are. The known failures of KNOWN-RED.txt are run too and reported by
 * name; see verdict.cjs for what fails a run. With arguments that choose some tests only, entries
 * that name a test outside the choice are not held against the run.
 */

const { existsSync, readFileSync } = require('node:fs');
const { join } = require('node:path');
const jest = require('jest');
const yargsParser = require('yargs/yargs');
const { judge, parseKnownRed } = require('./verdict.cjs');

const root = join(__dirname, '..');

/** Full name and status of every test of a finished jest run. */
function listTests(results) {
  return results.testResults.flatMap((suite) =>
    suite.testResults.map((test) => ({ name: test.fullName, status: test.status })),
  );
}

async function main() {
  const argv = yargsParser(process.argv.slice(2)).help(false).version(false).parseSync();
  const patterns = argv._.map(String);
  const options = { ...argv, _: patterns, $0: 'jest' };
  const { results } = await jest.runCLI(options, [root]);
  const path = join(root, 'KNOWN-RED.txt');
  const entries = existsSync(path) ? parseKnownRed(readFileSync(path, 'utf8')) : [];
  const tests = listTests(results);
  const isPartial = process.argv.length > 2;
  const names = new Set(tests.map((test) => test.name));
  const relevant = isPartial ? entries.filter((entry) => names.has(entry.test)) : entries;
  const ran = isPartial ? tests.filter((test) => test.status !== 'pending') : tests;
  const verdict = judge(ran, relevant, results.numRuntimeErrorTestSuites);
  for (const name of verdict.knownRed) console.log(`known red, passed over: ${name}`);
  for (const complaint of verdict.complaints) console.log(complaint);
  console.log(`${verdict.passed} passed, ${verdict.failed} failed`);
  process.exit(verdict.failed > 0 || verdict.complaints.length > 0 ? 1 : 0);
}

void main();
