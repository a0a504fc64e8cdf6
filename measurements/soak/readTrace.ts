/** Picks the lines of a trace that tell of its failures. */

import { FAILURE_MARK } from './findFailure';

/** Names of calls, requests, VMs and servers. */
const namePattern = /\b(?:c|r|vm|p|e)\d+\b/g;

/** Names that too many lines share to tell anything. */
const widePattern = /^(?:p|e)\d+$/;

/** Every fault and failure, and the lines that share a name with a failure. */
export function readTrace(trace: readonly string[]): readonly string[] {
  const failed = trace.filter((line) => line.includes(` ${FAILURE_MARK} `));
  const names = new Set(failed.flatMap((line) => line.match(namePattern) ?? []));
  const calls = [...names].filter((name) => !widePattern.test(name));
  return trace.filter(
    (line) =>
      line.includes(` ${FAILURE_MARK} `) ||
      line.includes(' fault ') ||
      (line.match(namePattern) ?? []).some((name) => calls.includes(name)),
  );
}
