/**
 * How a request or operation ended. Every refusal carries one of `not-run`, `unknown` or `failed`,
 * and it is true: `not-run` only where nothing ran.
 */

export type Outcome = 'answered' | Refusal['outcome'];

/** Nothing ran, and nothing will; the caller may send it again. */
export interface NotRun {
  readonly outcome: 'not-run';
  /** Stable reason, the last part of the problem type. */
  readonly reason: string;
  readonly detail: string;
  /** When to come back, where it helps, milliseconds. */
  readonly retryAfterMs?: number;
}

/** It may have run; the router never runs it again. */
export interface Unknown {
  readonly outcome: 'unknown';
  readonly reason: string;
  readonly detail: string;
}

/** It ran and failed, or was refused for what it is. */
export interface Failed {
  readonly outcome: 'failed';
  readonly reason: string;
  readonly detail: string;
}

export type Refusal = NotRun | Unknown | Failed;
