/** Waits a bounded time for a chain of engines with capacity for a stream. */

import type { Stage } from '../../chains/layerEngine';
import type { GatewayHost, Job } from '../../gateway/job';
import type { AdmissionQueue } from './createAdmissionQueue';
import { findStreamChain } from './findStreamChain';

/** Share of the target for the first event that a request may wait for capacity. */
const FIRST_EVENT_WAIT_SHARE = 0.25;

/** Maximum expected first-event delay, in targets; beyond it, a later retry is no slower. */
const MAX_FIRST_EVENT_TARGETS = 1.5;

/** Longest wait of a retried request: it is already late, and its caller may not try again. */
const RETRY_WAIT_MS = 400;

/** Longest wait of an interrupted stream for capacity to continue; callers leave soon after. */
const RESUME_WAIT_MS = 1_200;

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
): Promise<readonly Stage[] | undefined> {
  const firstWaitMs = job.isRetry ? RETRY_WAIT_MS : job.rule.targetMs * FIRST_EVENT_WAIT_SHARE;
  const maxWaitMs = hasBegun ? RESUME_WAIT_MS : firstWaitMs;
  const maxStartMs = job.rule.targetMs * MAX_FIRST_EVENT_TARGETS;
  const untilMs = Math.min(job.expiresMs, host.now() + maxWaitMs);
  // Probes only once: servers that do not answer probes must not delay the request further.
  let mayProbe = host.isRecentlyStarted();
  for (;;) {
    const stages = findStreamChain(host, job, {
      tokens,
      entries,
      maxStartMs: hasBegun ? undefined : maxStartMs,
    });
    if (stages !== undefined) {
      const ids = stages.map(({ id }) => id);
      const hasNewReports = mayProbe && (await host.probes.askUnreported(ids));
      if (!hasNewReports) return stages;
      mayProbe = false;
    } else if (entries !== undefined && ![...entries].some((id) => canReturn(host, id))) {
      return undefined;
    } else {
      const isWoken = await queue.wait(hasBegun ? -1 : job.priority, untilMs);
      if (!isWoken) return undefined;
    }
    if (job.isOver()) return undefined;
  }
}

/** Whether an engine that cannot be used now may be usable soon. */
function canReturn({ registry }: GatewayHost, id: string): boolean {
  return registry.find(id)?.isDraining === false;
}
