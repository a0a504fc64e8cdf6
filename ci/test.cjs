'use strict';

/**
 * Runs the test suite and prints `N passed, N failed` as the last line.
 *
 * Arguments are passed on to jest. The known failures in KNOWN-RED.txt run too and are printed by
 * name; verdict.cjs defines what fails a run. When arguments select a subset of the tests, entries for
 * tests outside that subset are ignored.
 */

const { existsSync, readFileSync } = require('node:fs');
const { join } = require('node:path');
const jest = require('jest');
const yargsParser = require('yargs/yargs');
const { evaluateRun, parseKnownRed } = require('./verdict.cjs');

const root = join(__dirname, '..');

/** Lists the full name and status of every test of a finished jest run. */
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
  const verdict = evaluateRun(ran, relevant, results.numRuntimeErrorTestSuites);
  for (const name of verdict.knownRed) console.log(`known red, passed over: ${name}`);
  for (const problem of verdict.problems) console.log(problem);
  console.log(`${verdict.passed} passed, ${verdict.failed} failed`);
  process.exit(verdict.failed > 0 || verdict.problems.length > 0 ? 1 : 0);
}

void main();
