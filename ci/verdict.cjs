'use strict';

/**
 * Judges a finished test run against KNOWN-RED.txt.
 *
 * An entry is one line of four fields parted by ` | `: the full name of the test, the command with
 * its seed, what was seen, and the issue. Lines that start with `#` are comments. A listed test may
 * fail; a listed test that passes again, or that does not exist, fails the run, as does any failure
 * that is not listed.
 */

/**
 * Reads the entries of KNOWN-RED.txt.
 *
 * @param {string} text the whole file
 * @returns {{ test: string, line: string, whole: boolean }[]} one item an entry; `whole` is false
 *   where a field is missing
 */
function parseKnownRed(text) {
  return text
    .split('\n')
    .map((line) => line.trim())
    .filter((line) => line !== '' && !line.startsWith('#'))
    .map((line) => {
      const fields = line.split(' | ');
      return { test: fields[0] ?? '', line, whole: fields.length === 4 };
    });
}

/**
 * Counts a run's results and names every reason to fail it.
 *
 * @param {{ name: string, status: string }[]} tests full name and jest status of each test
 * @param {{ test: string, line: string, whole: boolean }[]} entries the known failures
 * @param {number} brokenSuites test files that did not run at all
 * @returns {{ passed: number, failed: number, knownRed: string[], complaints: string[] }}
 */
function judge(tests, entries, brokenSuites) {
  const listed = new Map(entries.map((entry) => [entry.test, entry]));
  const complaints = entries
    .filter((entry) => !entry.whole)
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
      if (isListed) complaints.push(`KNOWN-RED test passes again, remove its entry: ${test.name}`);
    } else complaints.push(`Test was not run (${test.status}): ${test.name}`);
  }
  const names = new Set(tests.map((test) => test.name));
  for (const entry of entries) {
    if (!names.has(entry.test)) complaints.push(`KNOWN-RED names no test: ${entry.test}`);
  }
  if (tests.length === 0) complaints.push('No test ran.');
  return { passed, failed, knownRed, complaints };
}

module.exports = { parseKnownRed, judge };
