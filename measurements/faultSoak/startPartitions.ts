/** Partitions VMs of the fault soak from all backend servers, one or two at a time, until it is stopped. */

import { setTimeout as sleep } from 'node:timers/promises';
import { createRandom } from '../../src/random/createRandom';
import type { Partition } from './startServerLinks';
import type { SoakSite } from './soakFaults';

const PARTITIONS: readonly Partition[] = ['hang', 'reset', 'refuse-new'];

/** Bounds of the length of a partition, milliseconds. */
const MIN_PARTITION_MS = 500;
const MAX_PARTITION_MS = 5_000;

const MEAN_PAUSE_MS = 1_500;

/** @returns a function that stops the partitions and resolves when the last has healed */
export function startPartitions(site: SoakSite, seed: number): () => Promise<void> {
  const random = createRandom(seed);
  let isStopped = false;
  const run = async (): Promise<void> => {
    while (!isStopped) {
      await sleep(random.exponential(MEAN_PAUSE_MS));
      const first = random.integer(site.gateways.length);
      const ordered = [...site.gateways.slice(first), ...site.gateways.slice(0, first)];
      // One VM always reaches the servers, so that the others have one to forward to.
      const partitioned = ordered.slice(0, 1 + random.integer(site.gateways.length - 1));
      const kind = random.pick(PARTITIONS);
      for (const { links } of partitioned) links.partition(kind);
      await sleep(MIN_PARTITION_MS + random.next() * (MAX_PARTITION_MS - MIN_PARTITION_MS));
      for (const { links } of partitioned) links.heal();
    }
  };
  const running = run();
  return async () => {
    isStopped = true;
    await running;
  };
}
