/**
 * Processor time of one token frame through the router's reducer, for streams of 10 and of 2,000
 * tokens. The SSE path is not in it.
 */

import { createRouter } from '../src/requests/createRouter';
import { reduceRouter } from '../src/requests/reduceRouter';
import type { RouterEvent } from '../src/requests/routerMessage';
import { MICROS_PER_MS, MS_PER_SECOND } from '../src/units';
import { createRandom } from '../src/random/createRandom';
import { createFleet } from './createFleet';
import { createRequest } from './createRequest';
import type { Measurement, MeasurementOptions } from './measurement';

const FRAMES = 100_000;
const STREAMS = 50;

export const throughputLedger: Measurement = (options, print) => {
  frameMicros(options, 2000);
  const short = frameMicros(options, 10);
  const long = frameMicros(options, 2000);
  print(`streams of 10 tokens: ${short.toFixed(2)} µs a frame; of 2,000: ${long.toFixed(2)} µs`);
  return Promise.resolve({
    measurement: 'ledger',
    seed: options.seed,
    microsAt10: short,
    microsAt2000: long,
    framesPerSecond: (MS_PER_SECOND * MICROS_PER_MS) / Math.max(short, long),
  });
};

/** Mean time of a frame; request starts are left out of it. */
function frameMicros(options: MeasurementOptions, tokens: number): number {
  const random = createRandom(options.seed);
  const workload = { promptTokens: 64, answerTokens: 32 };
  const configuration = createFleet(options.seed, options);
  const at = { atMs: 0, seed: 1 };
  const start = createRouter({ initialLimit: 10 * STREAMS });
  let router = reduceRouter(start, { type: 'configuration-changed', configuration, ...at }).state;
  let spentMs = 0;
  let number = 0;
  for (let frames = 0; frames < FRAMES; frames += STREAMS * tokens) {
    const events: RouterEvent[][] = Array.from({ length: tokens }, () => []);
    for (let stream = 0; stream < STREAMS; stream += 1) {
      number += 1;
      const request = createRequest(random, workload, number, { maxTokens: tokens });
      const decision = reduceRouter(router, { type: 'request-received', request, ...at });
      router = decision.state;
      const opened = decision.effects.find((effect) => effect.type === 'open-stream');
      if (opened === undefined) throw new RangeError('A request was refused');
      const { workspace, route } = opened.order;
      events.forEach((list, position) => {
        const receipts = route.map(({ engine, layers }) => ({
          engine,
          layers,
          attempt: 1,
          position,
        }));
        const base = { request: request.id, attempt: 1 };
        const frame = { ...base, workspace, position, token: 1, text: 'x', receipts };
        const message = { type: 'frame', frame } as const;
        list.push({ type: 'stream-message', ...base, message, atMs: position * 25, seed: 1 });
      });
    }
    const startMs = performance.now();
    for (const event of events.flat()) router = reduceRouter(router, event).state;
    spentMs += performance.now() - startMs;
  }
  return (spentMs * MICROS_PER_MS) / FRAMES;
}
