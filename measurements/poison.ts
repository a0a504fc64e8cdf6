/**
 * Poison requests: contents that crash each engine that starts on them are sent again and again, to
 * changing VMs under changing ids, among ordinary traffic. Counted are the engines that each took down
 * over the whole fleet, and the ordinary requests that were refused as suspects.
 */

import { createRandom } from '../src/random/createRandom';
import { createFleet } from './createFleet';
import { createRequest } from './createRequest';
import { createTestbed } from './createTestbed';
import type { Measurement } from './measurement';

const WORKLOAD = { promptTokens: 64, answerTokens: 32 } as const;
const STREAMS_PER_ENGINE = 6;
const POISONS = 4;
const RESEND_MS = 700;
const RESTART_MS = 3000;
const HEALTH_MS = 1000;
const END_MS = 30_000;

export const poison: Measurement = (options, print) => {
  const random = createRandom(options.seed);
  let sent = 0;
  let ordinary = 0;
  let answered = 0;
  let blamed = 0;
  let failed = 0;
  const reasons = new Map<string, number>();
  const next = (): void => {
    sent += 1;
    ordinary += 1;
    bed.send(sent % options.nodes, createRequest(random, WORKLOAD, sent));
  };
  const bed = createTestbed(createFleet(options.seed, options), {
    vms: options.nodes,
    seed: options.seed,
    router: { initialLimit: 10 * STREAMS_PER_ENGINE * options.engines },
    onFinish: () => {
      answered += 1;
      bed.queue.after(0, next);
    },
    onRefuse: (id, refusal) => {
      if (id.startsWith('poison')) return;
      reasons.set(refusal.reason, (reasons.get(refusal.reason) ?? 0) + 1);
      if (refusal.reason.startsWith('suspect')) blamed += 1;
      else failed += 1;
      bed.queue.after(100, next);
    },
  });
  const seen = new Set<string>();
  const down = new Set<string>();
  const watch = (): void => {
    for (const server of [...bed.engines.poisoned.values()].flatMap((servers) => [...servers])) {
      if (seen.has(server) || bed.engines.isLive(server)) continue;
      seen.add(server);
      down.add(server);
      bed.queue.after(HEALTH_MS, () => {
        bed.tellHealth(down);
      });
      bed.queue.after(RESTART_MS, () => {
        bed.engines.restart(server);
        down.delete(server);
        seen.delete(server);
        bed.tellHealth(down);
      });
    }
    bed.queue.after(10, watch);
  };
  const sendPoison = (number: number, time: number): void => {
    sent += 1;
    const prompt = [-1 - number, number];
    const fingerprint = `poison${number}`;
    const id = `poison${number}/${time}`;
    const request = createRequest(random, WORKLOAD, sent, { id, prompt, fingerprint });
    bed.send(random.integer(options.nodes), request);
    bed.queue.after(RESEND_MS, () => {
      sendPoison(number, time + 1);
    });
  };
  for (let index = 0; index < STREAMS_PER_ENGINE * options.engines; index += 1) {
    bed.queue.after(random.next() * 1000, next);
  }
  for (let number = 0; number < POISONS; number += 1) {
    bed.engines.poison.add([-1 - number, number].join(','));
    bed.queue.after(3000 * (number + 1), () => {
      sendPoison(number, 0);
    });
  }
  watch();
  bed.queue.runUntil(END_MS);
  const crashes = [...bed.engines.poisoned.values()].map((servers) => servers.size);
  const most = Math.max(0, ...crashes);
  const falsePositiveRate = blamed / ordinary;
  print(`engines down by each poison: ${crashes.join(', ')}`);
  print(
    `ordinary: ${ordinary} sent, ${answered} answered, ${blamed} blamed, ${failed} refused else`,
  );
  print([...reasons].map(([reason, count]) => `${reason} ${count}`).join(', '));
  print(
    `baseline (retry elsewhere, no suspects): an engine for each send, ${sent - ordinary} sends`,
  );
  return Promise.resolve({
    measurement: 'poison',
    seed: options.seed,
    mostServersDown: most,
    falsePositiveRate,
    refusedElse: failed,
  });
};
