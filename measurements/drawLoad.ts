/** Load reports of virtual engines. */

import type { LoadReport } from '../src/contracts/engineContract';
import type { Random } from '../src/random/createRandom';

const MAX_RUNNING = 32;
const MAX_QUEUED = 8;
const KV_TOKENS = 100_000;
const KV_TOKENS_PER_REQUEST = 2000;
const BASE_STEP_MICROS = 20_000;
const STEP_MICROS_PER_REQUEST = 100;

/** @returns a report with a random load, so that no two digests are alike */
export function drawLoad(engine: string, sequence: number, random: Random): LoadReport {
  const running = random.integer(MAX_RUNNING);
  return {
    engine,
    sequence,
    running,
    queued: random.integer(MAX_QUEUED),
    kvTokensUsed: running * KV_TOKENS_PER_REQUEST,
    kvTokensTotal: KV_TOKENS,
    stepMicros: BASE_STEP_MICROS + STEP_MICROS_PER_REQUEST * running,
    leaving: false,
  };
}
