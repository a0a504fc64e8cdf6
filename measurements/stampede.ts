/**
 * Many VMs that share one lagging load report: each starts requests on it, and the streams that an
 * engine got are set against its planned rate. The baseline sends to the least loaded engine of the
 * report. Also the time of one route choice at 600 engines.
 */

import { hash32 } from '../src/hashing/hash32';
import { createRandom } from '../src/random/createRandom';
import { createRouter } from '../src/requests/createRouter';
import { reduceRouter } from '../src/requests/reduceRouter';
import type { RouteChooser, Router } from '../src/requests/router';
import type { RouterEvent } from '../src/requests/routerMessage';
import { MICROS_PER_MS } from '../src/units';
import { createFleet, type FleetSize } from './createFleet';
import { createRequest } from './createRequest';
import type { Measurement } from './measurement';
import { createRouteChoices } from './routeChoices';

const WORKLOAD = { promptTokens: 64, answerTokens: 32 } as const;

/** Requests that all VMs together start on one report. */
const REQUESTS = 4000;

/** Part of the engines that the report shows as idle, while the others run something. */
const IDLE_PART = 0.1;
const REPORTED_RUNNING = 20;
const REPORT_AGE_MS = 500;

/** Engines and choices of the timing. */
const TIMED_ENGINES = 600;
const TIMED_CHOICES = 2000;

export const stampede: Measurement = (options, print) => {
  const figures: Record<string, number> = {};
  for (const vms of [8, 380]) {
    const own = spread(options.seed, options, vms, undefined);
    const least = spread(options.seed, options, vms, createRouteChoices()['least loaded']);
    print(`${vms} VMs: worst engine at ${own.toFixed(2)} of its planned share`);
    print(`${vms} VMs, least loaded: worst engine at ${least.toFixed(2)} of its planned share`);
    figures[`worstOf${vms}`] = own;
    figures[`leastLoadedOf${vms}`] = least;
  }
  const choiceMicros = timeChoice(options.seed, { ...options, engines: TIMED_ENGINES });
  print(`route choice at ${TIMED_ENGINES} engines: ${choiceMicros.toFixed(1)} µs on average`);
  return Promise.resolve({ measurement: 'stampede', seed: options.seed, ...figures, choiceMicros });
};

/** Most streams that any engine got, against its share by the plan. */
function spread(
  seed: number,
  size: FleetSize,
  vms: number,
  choice: RouteChooser | undefined,
): number {
  const counts = new Map<string, number>();
  const random = createRandom(seed);
  const first = prepare(seed, size, vms, choice);
  for (let vm = 0; vm < vms; vm += 1) {
    let router = first;
    for (let index = vm; index < REQUESTS; index += vms) {
      const request = createRequest(random, WORKLOAD, index);
      const event: RouterEvent = { type: 'request-received', request, atMs: 0, seed: index };
      const { state, effects } = reduceRouter(router, event);
      router = state;
      for (const effect of effects) {
        if (effect.type !== 'open-stream') continue;
        for (const { engine } of effect.order.route) {
          counts.set(engine, (counts.get(engine) ?? 0) + 1);
        }
      }
    }
  }
  const [pipeline] = first.pipelines.values();
  if (pipeline === undefined) throw new RangeError('No pipeline is planned');
  const even = pipeline.tokensPerSecond / pipeline.engines.length;
  const ratios = [...counts].map(([engine, count]) => {
    const rate = Math.max(pipeline.engineRates.get(engine) ?? 0, even * 0.1);
    return (count / REQUESTS) * (pipeline.tokensPerSecond / rate);
  });
  return Math.max(...ratios);
}

/** A router with the configuration and one lagging report of every engine. */
function prepare(
  seed: number,
  size: FleetSize,
  vms: number,
  choice: RouteChooser | undefined,
): Router {
  const configuration = createFleet(seed, size);
  const options = { initialLimit: REQUESTS, ...(choice && { chooseRoute: choice }) };
  let router = createRouter(options);
  const tell = (event: RouterEvent): void => {
    router = reduceRouter(router, event).state;
  };
  const at = { atMs: 0, seed };
  tell({ type: 'configuration-changed', configuration, ...at });
  tell({ type: 'use-learned', usage: [], acceptingVms: vms, ...at });
  for (const engine of configuration.engine.keys()) {
    const isIdle = hash32(engine, seed) / 2 ** 32 < IDLE_PART;
    const running = isIdle ? 0 : REPORTED_RUNNING;
    const rest = { queued: 0, kvTokensUsed: 0, kvTokensTotal: 1, stepMicros: 0, leaving: false };
    const report = { engine, sequence: 1, running, ...rest };
    tell({ type: 'load-reported', report, ageMs: REPORT_AGE_MS, ...at });
  }
  return router;
}

function timeChoice(seed: number, size: FleetSize): number {
  const configured = prepare(seed, size, 1, undefined);
  const random = createRandom(seed);
  const event = { type: 'request-received', atMs: 0, seed } as const;
  let router = configured;
  const requests = Array.from({ length: TIMED_CHOICES }, (_, index) =>
    createRequest(random, WORKLOAD, index),
  );
  for (const request of requests) router = reduceRouter(router, { ...event, request }).state;
  const all = [...router.requests.values()];
  const start = performance.now();
  for (const running of all) router.options.chooseRoute(router, { ...running, route: [] }, 0);
  return ((performance.now() - start) * MICROS_PER_MS) / all.length;
}
