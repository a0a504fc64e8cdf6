/** RFC 9457 problem documents, the form of every error towards callers and operators. */

import type { Refusal } from '../outcomes/outcome';

/** What went wrong, ready to be sent. */
export interface Problem {
  readonly status: number;
  readonly outcome: Refusal['outcome'];
  /** Last part of the problem type; stable. */
  readonly reason: string;
  readonly detail: string;
  readonly retryAfterMs?: number;
}

/** Head of every problem type. */
export const PROBLEM_TYPE_PREFIX = 'urn:citronpass:problem:';
