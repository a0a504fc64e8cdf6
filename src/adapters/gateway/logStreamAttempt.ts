/** Counts and logs the end of one attempt at a stream. */

import type { Stage } from '../../chains/layerEngine';
import type { PipelineModel } from '../../chains/pipelineModel';
import type { GatewayHost, Job } from '../../gateway/job';
import type { StreamProgress } from '../../gateway/streamProgress';
import type { AttemptOutcome } from './attemptOutcome';

export interface EndedAttempt {
  readonly stages: readonly Stage[];
  readonly outcome: AttemptOutcome;
  readonly progress: StreamProgress;
}

export function logStreamAttempt(
  host: GatewayHost,
  job: Job,
  { stages, outcome, progress }: EndedAttempt,
): void {
  host.count('stream_attempts', outcome.type);
  host.log('stream attempt', {
    id: job.head.id,
    content: job.content,
    parts: job.head.sharedParts.join(' '),
    end: outcome.type,
    detail: 'detail' in outcome ? outcome.detail : undefined,
    fault: outcome.type === 'not-run' ? outcome.fault : undefined,
    entry: stages[0]?.id,
    stages: stages.length,
    crossings: host.registry.countCrossDomainHops(stages),
    crossingShare: computeRoundedCrossingShare(job.profile.model, host),
    events: progress.events,
    lastEventId: progress.lastEventId,
    tookMs: Math.round(host.now() - job.arrivedMs),
  });
}

function computeRoundedCrossingShare(
  model: PipelineModel | undefined,
  host: GatewayHost,
): number | undefined {
  if (model === undefined) return undefined;
  return Math.round(host.registry.crossingShare(model) * 100) / 100;
}
