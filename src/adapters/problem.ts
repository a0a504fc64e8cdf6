/** RFC 9457 problem documents, the format of every error response to callers and operators. */

import type { Refusal } from '../outcomes/outcome';

/** Content of a problem document. */
export interface Problem {
  readonly status: number;
  readonly outcome: Refusal['outcome'];
  /** Last segment of the problem type; stable. */
  readonly reason: string;
  readonly detail: string;
  readonly retryAfterMs?: number;
}

/** Prefix of every problem type. */
export const PROBLEM_TYPE_PREFIX = 'urn:citronpass:problem:';
