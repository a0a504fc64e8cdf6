/** Computes the penalty of a link relative to a fast one, to weight engines by their links. */

import type { Configuration } from '../configuration/configuration';
import type { FailureDomainId } from '../failureDomains/failureDomain';

/** Minimum bandwidth of a link without penalty, bytes a second. */
const FAST_BYTES_PER_SECOND = 1.25e9;

/**
 * @param links the configured links
 * @param from failure domain that sends the activations
 * @param to failure domain that receives them
 * @returns 1 within a failure domain and on fast links, more on slower ones; infinite without a link
 */
export function computeLinkPenalty(
  links: Configuration['link'],
  from: FailureDomainId,
  to: FailureDomainId,
): number {
  if (from === to) return 1;
  const link = links.get(`${from}/${to}`);
  if (link === undefined) return Infinity;
  return Math.max(1, FAST_BYTES_PER_SECOND / link.bytesPerSecond);
}
