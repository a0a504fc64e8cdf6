/** Fetches missing revisions from a peer that has them, or else from the table. */

import {
  CONFIGURATION_TABLE,
  MAX_REVISIONS_PER_FETCH,
} from '../configuration/configurationConstants';
import { formatRevisionKey } from '../configuration/formatRevisionKey';
import { createRandom } from '../random/createRandom';
import { allocateNonce } from './allocateNonce';
import type { Fleet, FleetDecision } from './fleet';
import { FETCH_RETRY_MS } from './fleetConstants';
import type { Member } from './member';
import { toPeer } from './toPeer';
import { withConfiguration } from './withConfiguration';

/**
 * Starts a fetch if this VM is behind and no fetch is in progress. Peers come first, as they put no load
 * on the table. If a fetch from a peer goes unanswered, the next one reads the table, and vice versa.
 *
 * @param fleet the state
 * @param atMs now
 * @param seed fresh randomness
 */
export function fetchConfiguration(fleet: Fleet, atMs: number, seed: number): FleetDecision {
  const { applied, head, fetch, partial } = fleet.configuration;
  const isBehind = applied.revision < head;
  const isWaiting = fetch.type !== 'none' && atMs - fetch.startedAtMs < FETCH_RETRY_MS;
  if (!isBehind || isWaiting) return { state: fleet, effects: [] };
  const after = partial?.isComplete === true ? partial.baseRevision : applied.revision;
  const peers = [...fleet.membership.members.values()].filter(
    (member) => member.status === 'alive' && member.applied > after,
  );
  if (peers.length === 0 || fetch.type === 'peer') return fetchFromTable(fleet, after, atMs);
  return fetchFromPeer(fleet, createRandom(seed).pick(peers), after, atMs);
}

function fetchFromPeer(fleet: Fleet, peer: Member, after: number, atMs: number): FleetDecision {
  return {
    state: withConfiguration(fleet, { fetch: { type: 'peer', startedAtMs: atMs } }),
    effects: [
      { type: 'send-message', to: toPeer(peer), body: { type: 'revisions-wanted', after } },
    ],
  };
}

function fetchFromTable(fleet: Fleet, after: number, atMs: number): FleetDecision {
  const allocated = allocateNonce(fleet);
  const range = {
    table: CONFIGURATION_TABLE,
    from: formatRevisionKey(after + 1),
    to: formatRevisionKey(after + 1 + MAX_REVISIONS_PER_FETCH),
    limit: MAX_REVISIONS_PER_FETCH,
  };
  return {
    state: withConfiguration(allocated.fleet, { fetch: { type: 'table', startedAtMs: atMs } }),
    effects: [{ type: 'read-range', call: `revisions-${allocated.nonce}`, range }],
  };
}
