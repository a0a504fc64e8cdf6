/** Turns a refusal of the node into a problem document's content. */

import type { Refusal } from '../outcomes/outcome';
import type { Problem } from './problem';

/** HTTP status where the outcome alone does not say it. */
const STATUS_OF_REASON: Readonly<Record<string, number>> = {
  unauthenticated: 401,
  forbidden: 403,
  'no-such-path': 404,
  'no-such-service': 404,
  'no-such-method': 405,
  'no-such-operation': 404,
  'unknown-operation': 404,
  'invalid-request': 400,
  'invalid-operation-id': 400,
  'unsupported-parameter': 400,
  'too-many-tokens': 400,
  'caller-too-slow': 408,
  'body-too-large': 413,
  'headers-too-large': 431,
  'operation-id-reused': 422,
  'rate-limited': 429,
  'workspace-limit': 429,
  'too-many-requests': 429,
};

const STATUS_OF_OUTCOME: Readonly<Record<Refusal['outcome'], number>> = {
  'not-run': 503,
  unknown: 504,
  failed: 502,
};

/**
 * Gives the problem that tells a caller of a refusal.
 *
 * @param refusal why and how the work ended
 */
export function toProblem(refusal: Refusal): Problem {
  const status = STATUS_OF_REASON[refusal.reason] ?? STATUS_OF_OUTCOME[refusal.outcome];
  return { ...refusal, status };
}
