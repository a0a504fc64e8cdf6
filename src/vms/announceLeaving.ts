/** Passes on at once that a backend server leaves. */

import type { BackendServerId } from '../backendServers/backendServer';
import { chain } from './chain';
import { encodeDigest } from './encodeDigest';
import type { Fleet, FleetDecision } from './fleet';
import { URGENT_TARGETS } from './fleetConstants';
import { isLive } from './isLive';
import { pickMembers } from './pickMembers';
import { sendGossip } from './sendGossip';

/**
 * Where a step brought the first word that a server leaves, tells some VMs; each does the same once, so
 * the word is everywhere in a few rounds without waiting for the regular digests.
 *
 * @param before the state before the word came
 * @param fleet the state after it
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
  const word = record?.report;
  if (wasLeaving || record === undefined || word?.state !== 'leaving') {
    return { state: fleet, effects: [] };
  }
  const digests = [encodeDigest(server, record, word, atMs, true)];
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
