/** Has servers of the fault soak announce limits of requests, some at a time, until it is stopped. */

import { setTimeout as sleep } from 'node:timers/promises';
import { createRandom } from '../../src/random/createRandom';
import type { LimitRecord } from './createLimitRecord';
import type { SoakSite } from './soakFaults';

/** Requests a second. */
const LIMITS = [1, 2.5, 5];

/** Length of a limit, milliseconds: a window and more after the VMs have learned of it. */
const MIN_LIMIT_MS = 6_000;
const MAX_LIMIT_MS = 9_000;

const MEAN_PAUSE_MS = 1_000;

/** Share of the servers of a service that are limited together; some always serve on. */
const LIMITED_SHARE = 0.6;

/** @returns a function that stops the limits and resolves when the last has ended */
export function startLimits(
  site: SoakSite,
  record: LimitRecord,
  seed: number,
): () => Promise<void> {
  const random = createRandom(seed);
  let isStopped = false;
  const setLimit = (servers: SoakSite['engines'], perSecond: number | undefined): void => {
    for (const server of servers) {
      server.setRequestLimit(perSecond);
      record.recordLimit(server.id, perSecond, performance.now());
    }
  };
  const run = async (): Promise<void> => {
    while (!isStopped) {
      await sleep(random.exponential(MEAN_PAUSE_MS));
      const isPlain = random.next() < 0.5;
      const limited = site.engines.filter(
        (engine) => engine.isPlain === isPlain && random.next() < LIMITED_SHARE,
      );
      const ids = limited.map(({ id }) => id);
      setLimit(limited, random.pick(LIMITS));
      await sleep(MIN_LIMIT_MS + random.next() * (MAX_LIMIT_MS - MIN_LIMIT_MS));
      // A server that has ended meanwhile has another id, and announces nothing more under the former.
      for (const id of ids) record.recordLimit(id, undefined, performance.now());
      setLimit(limited, undefined);
    }
  };
  const running = run();
  return async () => {
    isStopped = true;
    await running;
  };
}
