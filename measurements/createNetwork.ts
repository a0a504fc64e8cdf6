/** Interfaces of engines and links between failure domains in virtual time. */

import type { BackendServerId } from '../src/backendServers/backendServer';
import type { Configuration } from '../src/configuration/configuration';
import type { Engine } from '../src/engines/engine';
import { MS_PER_SECOND } from '../src/units';
import type { EventQueue } from './createEventQueue';

/** Delay between two engines of one failure domain, milliseconds. */
const NEAR_DELAY_MS = 0.05;

/** Sends bytes from one engine to another; what uses the same interface or link queues up. */
export type Transfer = (from: Engine, to: Engine, bytes: number, done: () => void) => void;

/** Builds the network of a configuration, all of it idle. */
export function createNetwork(configuration: Configuration, queue: EventQueue): Transfer {
  const freeAtMs = new Map<string, number>();
  const domainOf = (engine: BackendServerId): string =>
    configuration.backendServer.get(engine)?.failureDomain ?? '';
  const takeMs = (key: string, bytesPerSecond: number, bytes: number): number => {
    const start = Math.max(queue.now(), freeAtMs.get(key) ?? 0);
    const end = start + (bytes * MS_PER_SECOND) / bytesPerSecond;
    freeAtMs.set(key, end);
    return end - queue.now();
  };
  return (from, to, bytes, done) => {
    if (from === to) {
      done();
      return;
    }
    const interfaceMs = takeMs(from.id, from.uplinkBytesPerSecond, bytes);
    const key = `${domainOf(from.id)}/${domainOf(to.id)}`;
    const link = configuration.link.get(key);
    const linkMs = link === undefined ? 0 : takeMs(key, link.bytesPerSecond, bytes);
    queue.after(Math.max(interfaceMs, linkMs) + (link?.delayMs ?? NEAR_DELAY_MS), done);
  };
}
