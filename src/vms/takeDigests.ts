/** Takes in the digests of backend servers that a datagram brought. */

import { z } from 'zod';
import { chain } from './chain';
import type { Fleet, FleetDecision } from './fleet';
import type { DigestTuple } from './gossip';
import { learnLoad } from './learnLoad';
import { learnWord } from './learnWord';
import { shareLeaving } from './shareLeaving';

/** Age, sequence, running, queued, KV tokens used and in total, step in microseconds. */
const loadSchema = z
  .tuple([z.number(), z.number(), z.number(), z.number(), z.number(), z.number(), z.number()])
  .rest(z.unknown());

/**
 * Merges digests. While this VM may just have woken from a pause they are ignored: their ages were
 * right when they were sent, not when they were read.
 *
 * @param fleet the state
 * @param digests as they came
 * @param atMs now
 * @param seed fresh randomness
 */
export function takeDigests(
  fleet: Fleet,
  digests: readonly DigestTuple[],
  atMs: number,
  seed: number,
): FleetDecision {
  if (!fleet.standing.isAwake) return { state: fleet, effects: [] };
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
  return chain(
    fleet,
    (next) => learnWord(next, server, word),
    (next) => shareLeaving(fleet, next, server, atMs, seed),
    (next) => takeLoad(next, server, rest, atMs),
  );
}

function takeLoad(
  fleet: Fleet,
  engine: string,
  rest: readonly unknown[],
  atMs: number,
): FleetDecision {
  const load = loadSchema.safeParse(rest);
  if (!load.success) return { state: fleet, effects: [] };
  const [ageMs, sequence, running, queued, kvTokensUsed, kvTokensTotal, stepMicros] = load.data;
  const leaving = fleet.servers.records.get(engine)?.word?.state === 'leaving';
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
  return learnLoad(fleet, report, atMs, ageMs);
}
