/** Merges the digests of backend servers in a datagram. */

import { announceLeaving } from './announceLeaving';
import { chain } from './chain';
import type { Fleet, FleetDecision } from './fleet';
import type { DigestTuple } from './gossip';
import { mergeLoad } from './mergeLoad';
import { mergeServerReport } from './mergeServerReport';

/** Number of load fields: age, sequence, running, queued, KV tokens used and in total, step time. */
const LOAD_FIELDS = 7;

type LoadNumbers = readonly [number, number, number, number, number, number, number];

/**
 * Merges digests. Until this VM has a fresh answer after a start or pause, they are ignored: their ages
 * were correct when they were sent, not when they are read.
 *
 * @param fleet the state
 * @param digests the digests of the datagram
 * @param atMs now
 * @param seed fresh randomness
 */
export function mergeDigests(
  fleet: Fleet,
  digests: readonly DigestTuple[],
  atMs: number,
  seed: number,
): FleetDecision {
  if (!fleet.availability.hasFreshAnswer) return { state: fleet, effects: [] };
  return chain(
    fleet,
    ...digests.map((digest) => (state: Fleet) => mergeDigest(state, digest, atMs, seed)),
  );
}

function mergeDigest(fleet: Fleet, digest: DigestTuple, atMs: number, seed: number): FleetDecision {
  const [server, state, ageMs, incarnation, isRelayed, ...rest] = digest;
  const report = {
    state: state === 1 ? 'leaving' : 'live',
    observedAtMs: atMs - ageMs,
    incarnation,
    via: isRelayed === 1 ? 'relay' : 'watcher',
  } as const;
  const known = fleet.servers.records.get(server)?.report;
  const isSame = known?.state === report.state && known.incarnation === incarnation;
  if (isSame && known.observedAtMs >= report.observedAtMs) return { state: fleet, effects: [] };
  return chain(
    fleet,
    (next) => mergeServerReport(next, server, report),
    (next) => announceLeaving(fleet, next, server, atMs, seed),
    (next) => mergeDigestLoad(next, server, rest, atMs),
  );
}

function mergeDigestLoad(
  fleet: Fleet,
  engine: string,
  rest: readonly unknown[],
  atMs: number,
): FleetDecision {
  const numbers = rest.slice(0, LOAD_FIELDS).filter((item) => typeof item === 'number');
  if (numbers.length < LOAD_FIELDS) return { state: fleet, effects: [] };
  const [ageMs, sequence, running, queued, kvTokensUsed, kvTokensTotal, stepMicros] =
    numbers as unknown as LoadNumbers;
  const leaving = fleet.servers.records.get(engine)?.report?.state === 'leaving';
  const report = {
    engine,
    sequence,
    running,
    queued,
    kvTokensUsed,
    kvTokensTotal,
    stepMicros,
    leaving,
  };
  return mergeLoad(fleet, report, atMs, ageMs);
}
