/** Picks the service for a request on a route that splits its traffic. */

import { hash32 } from '../hashing/hash32';
import type { RouteRule } from './catalog';

/** Number of hash values, 2^32. */
const HASHES = 0x1_0000_0000;

/**
 * Picks by a hash of the request's id, so every VM picks the same service for the same request.
 *
 * @param rule the request's route
 * @param requestId the request's id
 * @returns the service's name, undefined if no share has a weight
 */
export function pickService(rule: RouteRule, requestId: string): string | undefined {
  const [only] = rule.shares;
  if (rule.shares.length === 1) return only?.service;
  const total = rule.shares.reduce((sum, { weight }) => sum + weight, 0);
  let point = (hash32(requestId) / HASHES) * total;
  for (const { service, weight } of rule.shares) {
    point -= weight;
    if (point < 0) return service;
  }
  return undefined;
}
