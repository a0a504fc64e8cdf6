/** Ends a stream that got no complete answer. */

import { computeServiceQuietTime } from '../../gateway/computeServiceQuietTime';
import { computeServiceWaitTime } from '../../gateway/computeServiceWaitTime';
import type { GatewayHost, Job } from '../../gateway/job';
import { estimateStreamSize } from './estimateStreamSize';
import { explainStreamShortage } from './explainStreamShortage';
import { findStreamChain } from './findStreamChain';
import { refuseJob } from './refuseJob';
import type { AttemptOutcome } from './attemptOutcome';

/** Delays before the caller may retry where all chains are full, and where no chain exists. */
const FULL_RETRY_MS = 2_500;
const NO_CHAIN_RETRY_MS = 2_500;

/** Why a stream got no further attempt. */
export type StreamLimit =
  'no chain' | 'attempts of the route' | 'retry budget' | 'not resumable' | 'held back';

export interface StreamEnd {
  /** What ruled out a further attempt; undefined if the last outcome did. */
  readonly limit: StreamLimit | undefined;
  /** Events that the caller received. */
  readonly events: number;
  /** Servers that may have run the request. */
  readonly runs: number;
}

/** Sends the final answer of a stream that is not complete, or closes its connection. */
export function finishStream(
  host: GatewayHost,
  job: Job,
  outcome: AttemptOutcome | undefined,
  end: StreamEnd,
): void {
  const { response } = job;
  if (outcome?.type === 'answered' && !response.headersSent) {
    response.writeHead(outcome.reply.status, {
      ...outcome.reply.headers,
      'content-length': outcome.reply.body.length,
    });
    response.end(outcome.reply.body);
    return;
  }
  const reason = end.runs > 0 ? 'unknown-outcome' : 'not-run';
  const baseMs = outcome === undefined ? chooseRetryDelay(host, job) : FULL_RETRY_MS;
  const quietMs = computeServiceQuietTime(host.registry, job.profile.name);
  const { tokens } = estimateStreamSize(job);
  host.count('refusals', reason);
  host.count('streams_given_up', `priority ${job.priority}`);
  host.log('stream given up', {
    id: job.head.id,
    priority: job.priority,
    reason,
    cause: outcome?.type ?? 'no chain',
    limit: end.limit,
    shortage:
      end.limit === 'no chain'
        ? explainStreamShortage(host, job, { tokens, hasBegun: end.events > 0 })
        : undefined,
    isAtLimit: computeServiceWaitTime(host.registry, job.profile.name) > quietMs,
    events: end.events,
    runs: end.runs,
    maxAttempts: job.rule.maxAttempts,
  });
  refuseJob(response, reason, host.protocol, {
    retryAfterMs: end.runs > 0 ? undefined : Math.max(quietMs, baseMs * (0.5 + host.random())),
  });
}

/** Where no chain covers the model, engines must load layers before a retry can succeed. */
function chooseRetryDelay(host: GatewayHost, job: Job): number {
  const empty = findStreamChain(host, job, { tokens: 0, hasBegun: true });
  return empty === undefined ? NO_CHAIN_RETRY_MS : FULL_RETRY_MS;
}
