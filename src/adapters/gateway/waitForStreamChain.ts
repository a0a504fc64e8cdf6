/** Waits a bounded time for a chain of engines with capacity for a stream. */

import { setTimeout as sleep } from 'node:timers/promises';
import { computeServiceWaitTime } from '../../gateway/computeServiceWaitTime';
import type { GatewayHost, Job } from '../../gateway/job';
import type { AdmissionQueue } from './createAdmissionQueue';
import { reserveStreamChain } from './reserveStreamChain';
import type { ReservedChain } from './reserveStreamChain';

/** Share of the target for the first event that a request may wait for capacity. */
const FIRST_EVENT_WAIT_SHARE = 0.25;

/** Longest wait of a retried request: it is already late, and its caller may not try again. */
const RETRY_WAIT_MS = 400;

/** Longest wait of an interrupted stream for capacity to continue; callers leave soon after. */
const RESUME_WAIT_MS = 1_200;

/**
 * Interval at which a stream looks whether the servers that it is limited to can be used again. It does not
 * queue, since it could not use the room for which it would be woken in place of others.
 */
const LIMITED_POLL_MS = 100;

export interface StreamChainWait {
  /** Expected tokens of prompt and answer. */
  readonly tokens: number;
  /** Whether the caller has received events. */
  readonly hasBegun: boolean;
  /** Engines to which the request may be sent; all if undefined. */
  readonly entries: ReadonlySet<string> | undefined;
}

/**
 * @returns undefined if no chain had capacity in time, or the request is over
 */
export async function waitForStreamChain(
  host: GatewayHost,
  job: Job,
  queue: AdmissionQueue,
  { tokens, hasBegun, entries }: StreamChainWait,
): Promise<ReservedChain | undefined> {
  const firstWaitMs = job.isRetry ? RETRY_WAIT_MS : job.rule.targetMs * FIRST_EVENT_WAIT_SHARE;
  const maxWaitMs = hasBegun ? RESUME_WAIT_MS : firstWaitMs;
  const untilMs = Math.min(job.expiresMs, host.now() + maxWaitMs);
  // Probes only once: servers that do not answer probes must not delay the request further.
  let mayProbe = host.isRecentlyStarted();
  let isLastSearch = false;
  while (!job.isOver()) {
    const chain = reserveStreamChain(host, job, { tokens, hasBegun, entries });
    if (chain !== undefined) {
      const ids = chain.stages.map(({ id }) => id);
      const hasNewReports = mayProbe && (await host.probes.askUnreported(ids));
      if (!hasNewReports && !job.isOver()) return chain;
      chain.reservation.cancel();
      mayProbe = false;
    } else if (isLastSearch || takesNoneUntil(host, job, untilMs)) {
      return undefined;
    } else if (entries === undefined) {
      isLastSearch = !(await queue.wait(hasBegun ? -1 : job.priority, untilMs));
    } else {
      if (![...entries].some((id) => canReturn(host, id))) return undefined;
      const waitMs = Math.min(LIMITED_POLL_MS, untilMs - host.now());
      isLastSearch = waitMs < LIMITED_POLL_MS;
      if (waitMs > 0) await sleep(waitMs);
    }
  }
  return undefined;
}

/** Whether an engine that cannot be used now may be usable soon. */
function canReturn({ registry }: GatewayHost, id: string): boolean {
  return registry.find(id)?.isDraining === false;
}

/** Whether no server of the service takes a request before the given time. */
function takesNoneUntil({ registry, now }: GatewayHost, job: Job, untilMs: number): boolean {
  const waitMs = computeServiceWaitTime(registry, job.profile.name);
  return waitMs > 0 && now() + waitMs >= untilMs;
}
