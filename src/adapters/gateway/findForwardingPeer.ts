/** Finds a VM for a request that this VM can send to no backend server. */

import type { GatewayHost, Job } from '../../gateway/job';
import type { PeerRecord } from '../../peers/peer';

/**
 * @param tried VMs that had the request
 * @returns undefined while this VM reaches backend servers, if there is no such VM, and for a request that
 *   another VM has sent here, so that no request goes round
 */
export function findForwardingPeer(
  { partition, choosePeer }: GatewayHost,
  { forwarded }: Job,
  tried: ReadonlySet<string>,
): PeerRecord | undefined {
  if (forwarded !== undefined || !partition.isPartitioned()) return undefined;
  return choosePeer(tried);
}
