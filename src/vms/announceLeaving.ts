/** Gossips immediately that a backend server is leaving. */

import type { BackendServerId } from '../backendServers/backendServer';
import { chain } from './chain';
import { encodeDigest } from './encodeDigest';
import type { Fleet, FleetDecision } from './fleet';
import { URGENT_TARGETS } from './fleetConstants';
import { isLive } from './isLive';
import { pickMembers } from './pickMembers';
import { sendGossip } from './sendGossip';

/**
 * If a step recorded the first report that a server is leaving, sends it to some VMs. Each VM does so
 * once, which spreads the report to all VMs in a few rounds without waiting for the regular digests.
 *
 * @param before the state before the step
 * @param fleet the state after the step
 * @param server the server
 * @param atMs now
 * @param seed fresh randomness
 */
export function announceLeaving(
  before: Fleet,
  fleet: Fleet,
  server: BackendServerId,
  atMs: number,
  seed: number,
): FleetDecision {
  const wasLeaving = before.servers.records.get(server)?.report?.state === 'leaving';
  const record = fleet.servers.records.get(server);
  const report = record?.report;
  if (wasLeaving || record === undefined || report?.state !== 'leaving') {
    return { state: fleet, effects: [] };
  }
  const digests = [encodeDigest(server, record, report, atMs, true)];
  const live = [...fleet.membership.members.values()].filter(isLive);
  const targets = pickMembers(live, URGENT_TARGETS, seed);
  return chain(
    fleet,
    ...targets.map(
      ({ id, vm }) =>
        (state: Fleet) =>
          sendGossip(
            state,
            { kind: 'news', to: vm.addresses.gossip, toId: id, nonce: 0, digests },
            atMs,
          ),
    ),
  );
}
