/** Backend servers of a run and their own logs, from which it is judged. */

import type { PlainAnswer } from '../../src/operations/operationMessage';

/** One execution of a call by a plain service. */
export interface PlainRun {
  readonly server: string;
  readonly key: string;
  readonly body: string;
  readonly answer: PlainAnswer;
}

export interface SoakServer {
  readonly id: string;
  downUntilMs: number;
  flakyUntilMs: number;
  leavingSinceMs: number;
  leavingUntilMs: number;
  life: number;
  /** Answers by key; it outlives a crash. */
  readonly answers: Map<string, PlainAnswer>;
}

export interface SoakEngine {
  readonly id: string;
  downUntilMs: number;
  stalledUntilMs: number;
  wrongUntilMs: number;
  life: number;
}
