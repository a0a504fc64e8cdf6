/** Encodes the latest report of a backend server, and its load, as a wire tuple. */

import type { BackendServerId } from '../backendServers/backendServer';
import type { DigestTuple } from './gossip';
import type { ServerRecord, ServerReport } from './serverRecord';

/**
 * @param server the server's id
 * @param record its record
 * @param report its latest report
 * @param atMs now; the tuple carries ages, not timestamps
 * @param isRelayed whether the report came from another VM
 */
export function encodeDigest(
  server: BackendServerId,
  record: ServerRecord,
  report: ServerReport,
  atMs: number,
  isRelayed: boolean,
): DigestTuple {
  const ageMs = Math.max(0, Math.round(atMs - report.observedAtMs));
  const state = report.state === 'leaving' ? 1 : 0;
  const head = [server, state, ageMs, report.incarnation, isRelayed ? 1 : 0] as const;
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
