/** Converts a refusal of the node into the content of a problem document. */

import type { Refusal } from '../outcomes/outcome';
import type { Problem } from './problem';

/** HTTP status by reason, for reasons whose status differs from that of the outcome. */
const STATUS_BY_REASON: Readonly<Record<string, number>> = {
  'invalid-request': 400,
  'unsupported-parameter': 400,
  'too-many-tokens': 400,
  'too-long': 400,
  'operation-id-invalid': 400,
  unauthenticated: 401,
  forbidden: 403,
  'role-too-low': 403,
  'no-such-path': 404,
  'no-such-service': 404,
  'service-unknown': 404,
  'unknown-service': 404,
  'method-unknown': 404,
  'never-received': 404,
  'no-such-method': 405,
  'caller-too-slow': 408,
  'still-running': 409,
  'body-too-large': 413,
  'operation-id-reused': 422,
  'rate-limited': 429,
  'headers-too-large': 431,
};

const STATUS_BY_OUTCOME: Readonly<Record<Refusal['outcome'], number>> = {
  'not-run': 503,
  unknown: 504,
  failed: 502,
};

/**
 * Adds the HTTP status to a refusal.
 *
 * @param refusal the outcome and its reason
 */
export function toProblem(refusal: Refusal): Problem {
  const status = STATUS_BY_REASON[refusal.reason] ?? STATUS_BY_OUTCOME[refusal.outcome];
  return { ...refusal, status };
}
