/** Types of verdict.cjs. */
export interface KnownRed {
  readonly test: string;
  readonly line: string;
  readonly isComplete: boolean;
}
export interface Verdict {
  readonly passed: number;
  readonly failed: number;
  readonly knownRed: readonly string[];
  readonly problems: readonly string[];
}
export function parseKnownRed(text: string): readonly KnownRed[];
export function evaluateRun(
  tests: readonly { readonly name: string; readonly status: string }[],
  entries: readonly KnownRed[],
  brokenSuites: number,
): Verdict;
