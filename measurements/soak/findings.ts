/** What a run found, from the outside: all but the first five must stay 0. */

export interface Findings {
  steps: number;
  operations: number;
  requests: number;
  answered: number;
  notRun: number;
  unknown: number;
  /** Operations that ran more than once. */
  doubled: number;
  /** Refused as not-run, and yet it ran. */
  falseNotRun: number;
  /** Answers that belong to another call, that nothing ran for, or that are not whole. */
  wrongAnswers: number;
  /** Tokens delivered without every layer having run once, in order. */
  layerFaults: number;
  lateDispatchToLeaving: number;
  configReverts: number;
  /** Requests in progress on a VM that exited after its drain. */
  cutStreams: number;
  /** Times that a side found its own invariant violated, or threw. */
  violations: number;
}

/** Findings that fail a run. */
export const failures = [
  'doubled',
  'falseNotRun',
  'wrongAnswers',
  'layerFaults',
  'lateDispatchToLeaving',
  'configReverts',
  'cutStreams',
  'violations',
] as const;

/** Starts at 0. */
export function createFindings(): Findings {
  return {
    steps: 0,
    operations: 0,
    requests: 0,
    answered: 0,
    notRun: 0,
    unknown: 0,
    doubled: 0,
    falseNotRun: 0,
    wrongAnswers: 0,
    layerFaults: 0,
    lateDispatchToLeaving: 0,
    configReverts: 0,
    cutStreams: 0,
    violations: 0,
  };
}
