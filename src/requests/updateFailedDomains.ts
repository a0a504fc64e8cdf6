/** Replans routes when a failure domain appears to have failed or recovered. */

import { findFailedDomains } from './findFailedDomains';
import { replanPipelines } from './replanPipelines';
import type { Router } from './router';

/**
 * The current plan assigns rates to engines of the failed domain and little to those that must take
 * over. Without a new plan, all moved streams would concentrate on the few engines with a rate.
 *
 * @param router the router
 * @param atMs the current time
 * @returns the router, replanned if the set of failed domains has changed
 */
export function updateFailedDomains(router: Router, atMs: number): Router {
  const failedDomains = findFailedDomains(router, atMs);
  const isUnchanged =
    failedDomains.size === router.failedDomains.size &&
    [...failedDomains].every((domain) => router.failedDomains.has(domain));
  return isUnchanged ? router : replanPipelines({ ...router, failedDomains });
}
