/** How much worse a link is than a fast one, to weigh engines by the links to their neighbours. */

import type { Configuration } from '../configuration/configuration';
import type { FailureDomainId } from '../failureDomains/failureDomain';

/** Bandwidth from which on a link does not count against an engine, bytes a second. */
const FAST_BYTES_PER_SECOND = 1.25e9;

/**
 * @param links the configured links
 * @param from where the activations come from
 * @param to where they go
 * @returns 1 inside a failure domain and on fast links, more on slower ones; infinite without a link
 */
export function linkFactor(
  links: Configuration['link'],
  from: FailureDomainId,
  to: FailureDomainId,
): number {
  if (from === to) return 1;
  const link = links.get(`${from}/${to}`);
  if (link === undefined) return Infinity;
  return Math.max(1, FAST_BYTES_PER_SECOND / link.bytesPerSecond);
}
