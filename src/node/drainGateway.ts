/**
 * Drains a gateway that is to stop: it goes on taking requests for a while, then refuses new ones, and ends when all
 * have their answers. Those that have none shortly before the end of the grace period are told so.
 */

import type { Gateway } from '../adapters/gateway/createGateway';
import type { LogFields } from '../gateway/job';
import { waitUntil } from './waitUntil';

export interface DrainOptions {
  readonly gateway: Pick<Gateway, 'active' | 'giveUpAll'>;
  /** Whether new requests are refused. */
  readonly isClosing: () => boolean;
  /** Time until the process is killed, milliseconds. */
  readonly graceMs: number;
  /** Closes connections on which no request is open. */
  readonly closeIdle: () => void;
  /** Gives up this VM's part of the fleet's work. */
  readonly release: () => Promise<unknown>;
  /** Closes all sockets, and stops all work. */
  readonly close: () => void;
  /** Monotonic clock, milliseconds. */
  readonly now: () => number;
  readonly log: (message: string, fields: LogFields) => void;
}

/** Part of the grace period that a drain leaves unused before the process is killed, milliseconds. */
const GRACE_MARGIN_MS = 300;

/** Part of that margin in which the last answers are sent, milliseconds. */
const LAST_ANSWERS_MS = 100;

/** Longest wait for the release after all else has ended, milliseconds. */
const RELEASE_WAIT_MS = 100;

/** Resolves when the process may exit. */
export async function drainGateway(options: DrainOptions): Promise<void> {
  const { gateway, isClosing, closeIdle, now, log } = options;
  const deadlineMs = now() + options.graceMs - GRACE_MARGIN_MS;
  log('stopping', { active: gateway.active() });
  const released = options.release();
  const isDone = (): boolean => isClosing() && gateway.active() === 0;
  await waitUntil(() => now() >= deadlineMs || isDone(), closeIdle);
  gateway.giveUpAll();
  await waitUntil(() => now() >= deadlineMs + LAST_ANSWERS_MS || isDone(), closeIdle);
  options.close();
  await Promise.race([released, new Promise((resolve) => setTimeout(resolve, RELEASE_WAIT_MS))]);
  log('stopped', { active: gateway.active() });
}
