/**
 * Goodput past saturation: callers send once, twice and four times what the fleet can make; goodput is
 * the tokens of whole answers whose first token came in time. One workspace sends most of the load.
 */

import { computeMaxThroughput } from '../src/pipelines/computeMaxThroughput';
import { createRandom } from '../src/random/createRandom';
import { MS_PER_SECOND } from '../src/units';
import { createFleet } from './createFleet';
import { createRequest, DEADLINE_MS } from './createRequest';
import { createTestbed } from './createTestbed';
import { fleetOf } from './fleetOf';
import type { Measurement, MeasurementOptions } from './measurement';

const WORKLOAD = { promptTokens: 64, answerTokens: 32 } as const;
const WARM_UP_MS = 8_000;
const WINDOW_MS = 8_000;

/** Time after the window in which the callers go on and its requests may end, milliseconds. */
const TAIL_MS = 6_000;

/** Part of all requests that the large workspace sends. */
const LARGE_PART = 0.8;

/** A limit that never refuses, for the baseline without admission. */
const UNLIMITED = 1e9;

interface Goodput {
  readonly tokensPerSecond: number;
  /** Part of the small workspaces' requests that were answered in time. */
  readonly smallPart: number;
  readonly refused: number;
  readonly late: number;
}

export const overload: Measurement = (options, print) => {
  const bound = computeMaxThroughput(fleetOf(createFleet(options.seed, options), WORKLOAD));
  const runs = [0.5, 0.75, 1, 2, 4].map((load) => run(options, bound, load, false, print));
  const without = run(options, bound, 2, true, print);
  const peak = Math.max(...runs.map((item) => item.tokensPerSecond));
  const at = (index: number): Goodput | undefined => runs[index];
  return Promise.resolve({
    measurement: 'overload',
    seed: options.seed,
    bound,
    peakGoodput: peak,
    goodputRatioAt2x: (at(3)?.tokensPerSecond ?? 0) / peak,
    goodputRatioAt4x: (at(4)?.tokensPerSecond ?? 0) / peak,
    smallWorkspaceShare: at(4)?.smallPart,
    withoutAdmissionAt2x: without.tokensPerSecond / peak,
  });
};

interface Sent {
  readonly isSmall: boolean;
  readonly sentAtMs: number;
  isInTime: boolean;
  tokens: number;
}

function run(
  options: MeasurementOptions,
  bound: number,
  load: number,
  isOpen: boolean,
  print: (line: string) => void,
): Goodput {
  const random = createRandom(options.seed);
  const sent = new Map<string, Sent>();
  let tokens = 0;
  let small = 0;
  let smallGood = 0;
  let refused = 0;
  let late = 0;
  const bed = createTestbed(createFleet(options.seed, options), {
    vms: options.nodes,
    seed: options.seed,
    router: isOpen ? { initialLimit: UNLIMITED, maxRunning: UNLIMITED } : {},
    onDeliver: (id, frame, atMs) => {
      const item = sent.get(id);
      if (item === undefined) return;
      if (frame.position === 0) item.isInTime = atMs - item.sentAtMs <= DEADLINE_MS;
      item.tokens += 1;
    },
    onFinish: (id, _attempts, atMs) => {
      const item = sent.get(id);
      sent.delete(id);
      if (item === undefined) return;
      if (!item.isInTime) late += 1;
      else if (atMs > WARM_UP_MS && atMs <= WARM_UP_MS + WINDOW_MS) tokens += item.tokens;
      if (item.isInTime && item.isSmall) smallGood += 1;
    },
    onRefuse: (id) => {
      refused += 1;
      sent.delete(id);
    },
  });
  const meanGapMs = (MS_PER_SECOND * WORKLOAD.answerTokens) / (bound * load);
  let count = 0;
  const next = (): void => {
    count += 1;
    const isSmall = random.next() > LARGE_PART;
    const other = 1 + random.integer(options.workspaces - 1);
    const now = bed.queue.now();
    const request = createRequest(random, WORKLOAD, count, {
      workspace: `workspace${isSmall ? other : 0}`,
      receivedAtMs: now,
      deadlineAtMs: isOpen ? Infinity : now + DEADLINE_MS,
    });
    const isCounted = isSmall && now > WARM_UP_MS && now < WARM_UP_MS + WINDOW_MS / 2;
    if (isCounted) small += 1;
    sent.set(request.id, { isSmall: isCounted, sentAtMs: now, isInTime: false, tokens: 0 });
    bed.send(random.integer(options.nodes), request);
    bed.queue.after(random.exponential(meanGapMs), next);
  };
  next();
  bed.queue.runUntil(WARM_UP_MS + WINDOW_MS + TAIL_MS);
  const tokensPerSecond = (tokens * MS_PER_SECOND) / WINDOW_MS;
  const smallPart = smallGood / Math.max(1, small);
  const name = isOpen ? 'without admission' : 'with admission';
  print(
    `${name} at ${load}x: goodput ${tokensPerSecond.toFixed(0)} tokens/s, small workspaces ` +
      `${(100 * smallPart).toFixed(1)} %, refused ${refused}, late ${late}`,
  );
  return { tokensPerSecond, smallPart, refused, late };
}
