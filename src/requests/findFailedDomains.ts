/** Finds failure domains that appear to have failed entirely, judging by this VM's own streams. */

import type { BackendServerId } from '../backendServers/backendServer';
import type { FailureDomainId } from '../failureDomains/failureDomain';
import { FAILURE_PENALTY_MS, FAILED_DOMAIN_ENGINES } from './constants';
import type { Router } from './router';

interface DomainActivity {
  readonly failures: number;
  /** Time of the first recent failure, on this VM's clock, milliseconds. */
  readonly firstFailedAtMs: number;
  readonly servedAtMs: number;
}

const NO_ACTIVITY: DomainActivity = { failures: 0, firstFailedAtMs: Infinity, servedAtMs: 0 };

/**
 * A domain counts as failed if several of its engines failed recently and none of its engines produced
 * a token since the first of these failures. All streams then leave the domain at once, instead of
 * detecting its failed engines one by one.
 *
 * @param router the router
 * @param atMs the current time
 */
export function findFailedDomains(router: Router, atMs: number): ReadonlySet<FailureDomainId> {
  if (atMs - router.lastFailureAtMs >= FAILURE_PENALTY_MS) return new Set();
  const activities = new Map<FailureDomainId, DomainActivity>();
  for (const [engine, { failedAtMs, servedAtMs }] of router.engineLoads) {
    const domain = getDomain(router, engine);
    const activity = activities.get(domain) ?? NO_ACTIVITY;
    const hasFailed = failedAtMs > servedAtMs && atMs - failedAtMs < FAILURE_PENALTY_MS;
    activities.set(domain, {
      failures: activity.failures + (hasFailed ? 1 : 0),
      firstFailedAtMs: hasFailed
        ? Math.min(activity.firstFailedAtMs, failedAtMs)
        : activity.firstFailedAtMs,
      servedAtMs: Math.max(activity.servedAtMs, servedAtMs),
    });
  }
  const failed = [...activities].filter(
    ([, { failures, firstFailedAtMs, servedAtMs }]) =>
      failures >= FAILED_DOMAIN_ENGINES && servedAtMs < firstFailedAtMs,
  );
  return new Set(failed.map(([domain]) => domain));
}

function getDomain({ configuration }: Router, engine: BackendServerId): FailureDomainId {
  return configuration.backendServer.get(engine)?.failureDomain ?? '';
}
