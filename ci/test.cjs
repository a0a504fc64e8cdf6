'use strict';

/**
 * Runs the test suite and prints `N passed, N failed` as the last line.
 *
 * Arguments are passed on to jest. The known failures in KNOWN-RED.txt run too and are printed by
 * name; verdict.cjs defines what fails a run. When arguments select a subset of the tests, entries for
 * tests outside that subset are ignored. The tests of crowds run one after the other, and apart from
 * all others, since they load the machine and look at the memory of a process under load.
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

/** Folder of the tests that run apart. */
const APART = 'platform/crowds/';

/** Runs the tests in parallel, then those that run apart; returns the results of both. */
async function runTests(options) {
  const ignored = { testPathIgnorePatterns: ['/node_modules/', APART] };
  const { results } = await jest.runCLI({ ...options, ...ignored }, [root]);
  if (options._.length > 0) return [results];
  const apart = await jest.runCLI({ ...options, _: [APART], runInBand: true }, [root]);
  return [results, apart.results];
}

async function main() {
  const argv = yargsParser(process.argv.slice(2)).help(false).version(false).parseSync();
  const patterns = argv._.map(String);
  const options = { ...argv, _: patterns, $0: 'jest' };
  const isApart = patterns.some((pattern) => `${pattern}/`.startsWith(APART));
  const results = isApart
    ? [(await jest.runCLI({ ...options, runInBand: true }, [root])).results]
    : await runTests(options);
  const path = join(root, 'KNOWN-RED.txt');
  const entries = existsSync(path) ? parseKnownRed(readFileSync(path, 'utf8')) : [];
  const tests = results.flatMap(listTests);
  const isPartial = process.argv.length > 2;
  const names = new Set(tests.map((test) => test.name));
  const relevant = isPartial ? entries.filter((entry) => names.has(entry.test)) : entries;
  const ran = isPartial ? tests.filter((test) => test.status !== 'pending') : tests;
  const broken = results.reduce((sum, run) => sum + run.numRuntimeErrorTestSuites, 0);
  const verdict = evaluateRun(ran, relevant, broken);
  for (const name of verdict.knownRed) console.log(`known red, passed over: ${name}`);
  for (const problem of verdict.problems) console.log(problem);
  console.log(`${verdict.passed} passed, ${verdict.failed} failed`);
  process.exit(verdict.failed > 0 || verdict.problems.length > 0 ? 1 : 0);
}

void main();
