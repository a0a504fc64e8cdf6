/** Plans routes anew as soon as a failure domain seems lost, or seems to be back. */

import { findLostDomains } from './findLostDomains';
import { planRouter } from './planRouter';
import type { Router } from './router';

/**
 * The plan that is in use rates the engines of the lost domain and hardly those that have to take
 * over; without a new one all streams that move would meet on the few that it rates.
 *
 * @param router the router
 * @param atMs now
 * @returns the router, planned anew where the domains that seem lost are others than before
 */
export function avoidLostDomains(router: Router, atMs: number): Router {
  const lostDomains = findLostDomains(router, atMs);
  const isSame =
    lostDomains.size === router.lostDomains.size &&
    [...lostDomains].every((domain) => router.lostDomains.has(domain));
  return isSame ? router : planRouter({ ...router, lostDomains });
}
