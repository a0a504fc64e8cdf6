/**
 * Recovery time after failures: stages crash, a failure domain goes silent, an engine stalls and wakes.
 * For each stream that was hit, the time from the failure to its next delivered token is taken. The
 * baseline waits for a fixed timeout and starts again from zero.
 */

import { createRandom } from '../src/random/createRandom';
import { MS_PER_SECOND } from '../src/units';
import { createFleet } from './createFleet';
import { createRequest } from './createRequest';
import { createTestbed } from './createTestbed';
import type { Measurement, MeasurementOptions } from './measurement';
import { percentileOf } from './percentileOf';

const WORKLOAD = { promptTokens: 64, answerTokens: 64 } as const;
const STREAMS_PER_ENGINE = 6;
const FAULT_EVERY_MS = 3000;
const END_MS = 30_000;

/** Time after which the platform's word of a dead engine reaches every VM, milliseconds. */
const HEALTH_MS = 1000;

/** Timeout of the baseline, milliseconds. */
const FIXED_TIMEOUT_MS = 5000;

interface Watched {
  readonly startedAtMs: number;
  failedAtMs: number | undefined;
  next: number;
}

export const recovery: Measurement = (options, print) => {
  const figures = run(options);
  const { times, rebuilds } = figures;
  print([...figures.reasons].map(([reason, count]) => `${reason} ${count}`).join(', '));
  print(`${times.length} streams were hit; ${figures.lost} requests lost of ${figures.sent}`);
  print(
    `p50 ${percentileOf(times, 0.5).toFixed(0)} ms, p99 ${percentileOf(times, 0.99).toFixed(0)} ms`,
  );
  print(
    `baseline (timeout ${FIXED_TIMEOUT_MS} ms, from zero): p50 ` +
      `${percentileOf(rebuilds, 0.5).toFixed(0)} ms, p99 ${percentileOf(rebuilds, 0.99).toFixed(0)} ms`,
  );
  return Promise.resolve({
    measurement: 'recovery',
    seed: options.seed,
    hit: times.length,
    p50Ms: percentileOf(times, 0.5),
    p99Ms: percentileOf(times, 0.99),
    lost: figures.lost,
    refused: figures.refused,
    disordered: figures.disordered,
    amplification: figures.amplification,
    baselineP50Ms: percentileOf(rebuilds, 0.5),
    baselineP99Ms: percentileOf(rebuilds, 0.99),
  });
};

interface Figures {
  readonly times: readonly number[];
  /** Times of the baseline for the same hits: its timeout and the time that the stream had run. */
  readonly rebuilds: readonly number[];
  readonly reasons: ReadonlyMap<string, number>;
  readonly sent: number;
  readonly lost: number;
  readonly refused: number;
  readonly disordered: number;
  readonly amplification: number;
}

function run(options: MeasurementOptions): Figures {
  const random = createRandom(options.seed);
  const watched = new Map<string, Watched>();
  const times: number[] = [];
  const rebuilds: number[] = [];
  let sent = 0;
  let lost = 0;
  let refused = 0;
  let disordered = 0;
  let usefulPrompt = 0;
  const reasons = new Map<string, number>();
  const configuration = createFleet(options.seed, options);
  const next = (): void => {
    sent += 1;
    const now = bed.queue.now();
    const request = createRequest(random, WORKLOAD, sent, { receivedAtMs: now });
    usefulPrompt += request.prompt.length;
    watched.set(request.id, { startedAtMs: now, failedAtMs: undefined, next: 0 });
    bed.send(sent % options.nodes, request);
  };
  const bed = createTestbed(configuration, {
    vms: options.nodes,
    seed: options.seed,
    router: { initialLimit: 10 * STREAMS_PER_ENGINE * options.engines },
    onDeliver: (id, frame, atMs) => {
      const item = watched.get(id);
      if (item === undefined) return;
      if (frame.position !== item.next) disordered += 1;
      item.next = frame.position + 1;
      if (item.failedAtMs === undefined) return;
      times.push(atMs - item.failedAtMs);
      rebuilds.push(FIXED_TIMEOUT_MS + item.failedAtMs - item.startedAtMs);
      item.failedAtMs = undefined;
    },
    onFinish: (id) => {
      watched.delete(id);
      bed.queue.after(0, next);
    },
    onRefuse: (id, refusal) => {
      const key = `${refusal.outcome} ${refusal.reason}`;
      reasons.set(key, (reasons.get(key) ?? 0) + 1);
      if (refusal.outcome === 'not-run') refused += 1;
      else lost += 1;
      watched.delete(id);
      bed.queue.after(MS_PER_SECOND, next);
    },
  });

  const markHit = (servers: ReadonlySet<string>): void => {
    for (let vm = 0; vm < options.nodes; vm += 1) {
      for (const running of bed.routerOf(vm).requests.values()) {
        const item = watched.get(running.request.id);
        const isHit = running.route.some((stage) => servers.has(stage.engine));
        if (item !== undefined && isHit && item.next > 0) item.failedAtMs ??= bed.queue.now();
      }
    }
  };
  const down = new Set<string>();
  const fail = (servers: readonly string[], how: 'reset' | 'silent'): void => {
    markHit(new Set(servers));
    for (const server of servers) {
      bed.engines.crash(server, how);
      down.add(server);
    }
    bed.queue.after(HEALTH_MS, () => {
      bed.tellHealth(down);
      for (const server of servers) {
        for (let vm = 0; vm < options.nodes; vm += 1)
          bed.tell(vm, { type: 'server-crashed', server });
      }
    });
    bed.queue.after(FAULT_EVERY_MS - 1, () => {
      for (const server of servers) {
        bed.engines.restart(server);
        down.delete(server);
      }
      bed.tellHealth(down);
    });
  };
  const servers = [...configuration.engine.keys()];
  const domainOf = (id: string): string | undefined =>
    configuration.backendServer.get(id)?.failureDomain;
  const faults: readonly (() => void)[] = [
    () => {
      fail([random.pick(servers)], 'reset');
    },
    () => {
      fail([random.pick(servers), random.pick(servers)], 'reset');
    },
    () => {
      const server = random.pick(servers);
      markHit(new Set([server]));
      bed.engines.stall(server, FAULT_EVERY_MS / 2);
    },
    () => {
      fail([random.pick(servers)], 'silent');
    },
    () => {
      const domain = domainOf(random.pick(servers));
      fail(
        servers.filter((id) => domainOf(id) === domain),
        'silent',
      );
    },
  ];
  for (let index = 0; index < STREAMS_PER_ENGINE * options.engines; index += 1) {
    bed.queue.after(random.next() * FAULT_EVERY_MS, next);
  }
  faults.forEach((fault, index) => {
    bed.queue.after(FAULT_EVERY_MS * (index + 2), fault);
  });
  bed.queue.runUntil(END_MS);
  const amplification = bed.engines.prefilledTokens() / usefulPrompt;
  return { times, rebuilds, reasons, sent, lost, refused, disordered, amplification };
}
