'use strict';

/**
 * Evaluates a finished test run against KNOWN-RED.txt.
 *
 * An entry is one line of four fields separated by ` | `: the full name of the test, the command with
 * its seed, what was seen, and the issue. Lines that start with `#` are comments. A listed test may
 * fail. The run fails if a listed test passes again or does not exist, or if an unlisted test fails.
 */

/**
 * Reads the entries of KNOWN-RED.txt.
 *
 * @param {string} text content of the file
 * @returns {{ test: string, line: string, isComplete: boolean }[]} one item per entry; `isComplete` is
 *   false if the entry does not have four fields
 */
function parseKnownRed(text) {
  return text
    .split('\n')
    .map((line) => line.trim())
    .filter((line) => line !== '' && !line.startsWith('#'))
    .map((line) => {
      const fields = line.split(' | ');
      return { test: fields[0] ?? '', line, isComplete: fields.length === 4 };
    });
}

/**
 * Counts the results of a run and lists every reason to fail it.
 *
 * @param {{ name: string, status: string }[]} tests full name and jest status of each test
 * @param {{ test: string, line: string, isComplete: boolean }[]} entries the known failures
 * @param {number} brokenSuites test files that could not run
 * @returns {{ passed: number, failed: number, knownRed: string[], problems: string[] }}
 */
function evaluateRun(tests, entries, brokenSuites) {
  const listed = new Map(entries.map((entry) => [entry.test, entry]));
  const problems = entries
    .filter((entry) => !entry.isComplete)
    .map((entry) => `KNOWN-RED entry needs four fields: ${entry.line}`);
  const knownRed = [];
  let passed = 0;
  let failed = brokenSuites;
  for (const test of tests) {
    const isListed = listed.has(test.name);
    if (test.status === 'failed' && isListed) knownRed.push(test.name);
    else if (test.status === 'failed') failed += 1;
    else if (test.status === 'passed') {
      passed += 1;
      if (isListed) problems.push(`KNOWN-RED test passes again, remove its entry: ${test.name}`);
    } else problems.push(`Test was not run (${test.status}): ${test.name}`);
  }
  const names = new Set(tests.map((test) => test.name));
  for (const entry of entries) {
    if (!names.has(entry.test)) problems.push(`KNOWN-RED names no test: ${entry.test}`);
  }
  if (tests.length === 0) problems.push('No test ran.');
  return { passed, failed, knownRed, problems };
}

module.exports = { parseKnownRed, evaluateRun };
