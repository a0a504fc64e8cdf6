/** Takes in the digests of backend servers that a datagram brought. */

import { chain } from './chain';
import type { Fleet, FleetDecision } from './fleet';
import type { DigestTuple } from './gossip';
import { mergeLoad } from './mergeLoad';
import { mergeServerReport } from './mergeServerReport';
import { announceLeaving } from './announceLeaving';

/** A load in a digest: age, sequence, running, queued, KV tokens used and in total, step time. */
const LOAD_FIELDS = 7;

type LoadNumbers = readonly [number, number, number, number, number, number, number];

/**
 * Merges digests. While this VM may just have woken from a pause they are ignored: their ages were
 * right when they were sent, not when they were read.
 *
 * @param fleet the state
 * @param digests as they came
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
    ...digests.map((digest) => (state: Fleet) => takeDigest(state, digest, atMs, seed)),
  );
}

function takeDigest(fleet: Fleet, digest: DigestTuple, atMs: number, seed: number): FleetDecision {
  const [server, state, ageMs, incarnation, isRelayed, ...rest] = digest;
  const word = {
    state: state === 1 ? 'leaving' : 'live',
    observedAtMs: atMs - ageMs,
    incarnation,
    via: isRelayed === 1 ? 'relay' : 'watcher',
  } as const;
  const known = fleet.servers.records.get(server)?.report;
  const isSame = known?.state === word.state && known.incarnation === incarnation;
  if (isSame && known.observedAtMs >= word.observedAtMs) return { state: fleet, effects: [] };
  return chain(
    fleet,
    (next) => mergeServerReport(next, server, word),
    (next) => announceLeaving(fleet, next, server, atMs, seed),
    (next) => takeLoad(next, server, rest, atMs),
  );
}

function takeLoad(
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
