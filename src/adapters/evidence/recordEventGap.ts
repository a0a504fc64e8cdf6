/** Records the time between two events of a stream, which callers notice and which tells how common pauses are. */

import { computeUnusualGap } from '../../gateway/evaluateSilence';
import type { GatewayHost, Job } from '../../gateway/job';

export interface EventGap {
  readonly gapMs: number;
  /** Mean time between the events before, milliseconds; undefined for the first event of an attempt. */
  readonly meanGapMs: number | undefined;
  /** Events that the caller had before. */
  readonly events: number;
  /** Last repair of the stream's chain: the time since then, milliseconds, and its cause. */
  readonly sinceRepairMs: number;
  readonly lastCause: string | undefined;
}

export function recordEventGap(host: GatewayHost, { head, rule }: Job, gap: EventGap): void {
  const { gapMs, meanGapMs, events, sinceRepairMs, lastCause } = gap;
  const { targetGapMs } = rule;
  host.observe('event_gap', gapMs);
  if (meanGapMs !== undefined)
    host.silenceAlarms.recordGap(gapMs >= computeUnusualGap({ meanGapMs, targetGapMs }));
  if (gapMs <= targetGapMs) return;
  host.log('stream paused', {
    id: head.id,
    gapMs: Math.round(gapMs),
    events,
    sinceRepairMs: Math.round(sinceRepairMs),
    lastCause,
  });
}
