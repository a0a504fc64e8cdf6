/** Failure domains that seem lost as a whole, seen from this VM's own streams. */

import type { BackendServerId } from '../backendServers/backendServer';
import type { FailureDomainId } from '../failureDomains/failureDomain';
import { FAILED_MS, LOST_DOMAIN_FAILURES } from './constants';
import type { Router } from './router';

interface Signs {
  readonly failures: number;
  /** First of the recent failures, on this VM's clock, milliseconds. */
  readonly firstFailedAtMs: number;
  readonly servedAtMs: number;
}

const NO_SIGNS: Signs = { failures: 0, firstFailedAtMs: Infinity, servedAtMs: 0 };

/**
 * Several engines of a domain that failed of late, while none in it brought a token since the first of
 * them, are taken for the loss of the domain: streams then leave it at once, instead of finding its
 * dead engines one by one.
 *
 * @param router the router
 * @param atMs now
 */
export function findLostDomains(router: Router, atMs: number): ReadonlySet<FailureDomainId> {
  if (atMs - router.failedAtMs >= FAILED_MS) return new Set();
  const signs = new Map<FailureDomainId, Signs>();
  for (const [engine, { failedAtMs, servedAtMs }] of router.engines) {
    const domain = domainOf(router, engine);
    const sign = signs.get(domain) ?? NO_SIGNS;
    const hasFailed = failedAtMs > servedAtMs && atMs - failedAtMs < FAILED_MS;
    signs.set(domain, {
      failures: sign.failures + (hasFailed ? 1 : 0),
      firstFailedAtMs: hasFailed
        ? Math.min(sign.firstFailedAtMs, failedAtMs)
        : sign.firstFailedAtMs,
      servedAtMs: Math.max(sign.servedAtMs, servedAtMs),
    });
  }
  const lost = [...signs].filter(
    ([, { failures, firstFailedAtMs, servedAtMs }]) =>
      failures >= LOST_DOMAIN_FAILURES && servedAtMs < firstFailedAtMs,
  );
  return new Set(lost.map(([domain]) => domain));
}

function domainOf({ configuration }: Router, engine: BackendServerId): FailureDomainId {
  return configuration.backendServer.get(engine)?.failureDomain ?? '';
}
