/**
 * Throughput against the bound of the hardware: callers keep the fleet saturated; the tokens made in a
 * window are set against the maximum flow, and against plain ways to choose a route.
 */

import { createRandom } from '../src/random/createRandom';
import { computeMaxThroughput } from '../src/pipelines/computeMaxThroughput';
import type { RouteChooser } from '../src/requests/router';
import { MS_PER_SECOND } from '../src/units';
import { createFleet } from './createFleet';
import { createRequest } from './createRequest';
import { createTestbed } from './createTestbed';
import { fleetOf } from './fleetOf';
import type { Measurement, MeasurementOptions } from './measurement';
import { createRouteChoices } from './routeChoices';

const WORKLOAD = { promptTokens: 64, answerTokens: 32 } as const;

/** Time before the window, in which the batches fill, and the window, milliseconds. */
const WARM_UP_MS = 12_000;
const WINDOW_MS = 6_000;

/** Streams that the callers keep running, for each engine. */
const STREAMS_PER_ENGINE = 160;

/** Target for the first token with which the callers may keep every batch full, milliseconds. */
const PATIENT_MS = 120_000;

export const throughput: Measurement = (options, print) => {
  const bound = computeMaxThroughput(fleetOf(createFleet(options.seed, options), WORKLOAD));
  print(`bound            ${bound.toFixed(0)} tokens/s`);
  const achieved = run(options, undefined, print, 'flow');
  const baselines = Object.fromEntries(
    Object.entries(createRouteChoices()).map(([name, choice]) => [
      name,
      run(options, choice, print, name) / bound,
    ]),
  );
  return Promise.resolve({
    measurement: 'throughput',
    seed: options.seed,
    bound,
    achieved,
    ratio: achieved / bound,
    baselines,
  });
};

function run(
  options: MeasurementOptions,
  chooseRoute: RouteChooser | undefined,
  print: (line: string) => void,
  name: string,
): number {
  const random = createRandom(options.seed);
  let tokens = 0;
  let sent = 0;
  const next = (): void => {
    sent += 1;
    const request = createRequest(random, WORKLOAD, sent, {
      workspace: `workspace${sent % options.workspaces}`,
      receivedAtMs: bed.queue.now(),
    });
    bed.send(sent % options.nodes, request);
  };
  const fleet = { ...options, firstTokenTargetMs: PATIENT_MS };
  const bed = createTestbed(createFleet(options.seed, fleet), {
    vms: options.nodes,
    seed: options.seed,
    router: {
      initialLimit: STREAMS_PER_ENGINE * options.engines,
      ...(chooseRoute && { chooseRoute }),
    },
    onDeliver: (_request, _frame, atMs) => {
      if (atMs > WARM_UP_MS) tokens += 1;
    },
    onFinish: () => {
      bed.queue.after(0, next);
    },
    onRefuse: () => {
      bed.queue.after(MS_PER_SECOND, next);
    },
  });
  for (let index = 0; index < STREAMS_PER_ENGINE * options.engines; index += 1) {
    bed.queue.after(random.next() * WARM_UP_MS * 0.2, next);
  }
  bed.queue.runUntil(WARM_UP_MS + WINDOW_MS);
  const achieved = (tokens * MS_PER_SECOND) / WINDOW_MS;
  const repeated = bed.counters.get('attempts_repeated') ?? 0;
  print(`${name.padEnd(16)} ${achieved.toFixed(0)} tokens/s, ${repeated} attempts repeated`);
  return achieved;
}
