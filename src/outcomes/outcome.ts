/**
 * Outcomes of requests and operations. Every refusal is `not-run`, `unknown` or `failed`; `not-run`
 * guarantees that nothing ran.
 */

export type Outcome = 'answered' | Refusal['outcome'];

/** Nothing ran and nothing will run; the caller may send the request again. */
export interface NotRun {
  readonly outcome: 'not-run';
  /** Stable reason, the last part of the problem type. */
  readonly reason: string;
  readonly detail: string;
  /** Suggested delay before a retry, if a retry may help, milliseconds. */
  readonly retryAfterMs?: number;
}

/** It may have run; the router never runs it again. */
export interface Unknown {
  readonly outcome: 'unknown';
  readonly reason: string;
  readonly detail: string;
}

/** It ran and failed, or the request itself is not acceptable. */
export interface Failed {
  readonly outcome: 'failed';
  readonly reason: string;
  readonly detail: string;
}

export type Refusal = NotRun | Unknown | Failed;
