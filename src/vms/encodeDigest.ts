/** Writes what is known of a backend server as the tuple that travels. */

import type { BackendServerId } from '../backendServers/backendServer';
import type { DigestTuple } from './gossip';
import type { ServerRecord, ServerReport } from './serverRecord';

/**
 * @param server whom it is of
 * @param record its record
 * @param word its newest word
 * @param atMs now; ages travel, not clock readings
 * @param isRelayed whether the word came from another VM
 */
export function encodeDigest(
  server: BackendServerId,
  record: ServerRecord,
  word: ServerReport,
  atMs: number,
  isRelayed: boolean,
): DigestTuple {
  const ageMs = Math.max(0, Math.round(atMs - word.observedAtMs));
  const state = word.state === 'leaving' ? 1 : 0;
  const head = [server, state, ageMs, word.incarnation, isRelayed ? 1 : 0] as const;
  const { load } = record;
  if (load === undefined) return [...head];
  return [
    ...head,
    Math.max(0, Math.round(atMs - record.loadAtMs)),
    load.sequence,
    load.running,
    load.queued,
    load.kvTokensUsed,
    load.kvTokensTotal,
    Math.round(load.stepMicros),
  ];
}
