/**
 * Serves a stream in one or more attempts. Each attempt continues after the last event that the caller has,
 * so the caller sees one stream with every event exactly once.
 */

import { jitterLoads } from '../../chains/jitterLoads';
import { computeCrossDomainCost } from '../../chains/computeCrossDomainCost';
import { findChain } from '../../chains/findChain';
import type { Stage } from '../../chains/layerEngine';
import type { PipelineModel } from '../../chains/pipelineModel';
import type { AdmissionQueue } from './createAdmissionQueue';
import type { GatewayHost, Job } from '../../gateway/job';
import { refuseJob } from './refuseJob';
import { runStreamAttempt } from './runStreamAttempt';
import type { AttemptOutcome } from './runStreamAttempt';
import type { StreamProgress } from '../../gateway/streamProgress';

/** Share of the target for the first event that a request may wait for capacity. */
const FIRST_EVENT_WAIT_SHARE = 0.25;

/** Maximum expected first-event delay, in targets; beyond it, a later retry is no slower. */
const MAX_FIRST_EVENT_TARGETS = 1.5;

/** Longest wait of a retried request: it is already late, and its caller may not try again. */
const RETRY_WAIT_MS = 400;

/** Longest wait of an interrupted stream for capacity to continue; callers leave soon after. */
const RESUME_WAIT_MS = 1_200;

/** Back-off of an engine that refused or broke an attempt: until its other work has progressed. */
const ENGINE_BACKOFF_MS = 300;

/** Delays before the caller may retry where all chains are full, and where no chain exists. */
const FULL_RETRY_MS = 2_500;
const NO_CHAIN_RETRY_MS = 2_500;

/** Attempts after which a stream is abandoned, whatever the failures were. */
const MAX_ATTEMPTS = 6;

/** Resolves when the stream has ended or its caller has left. */
export async function serveStream(
  host: GatewayHost,
  job: Job,
  queue: AdmissionQueue,
): Promise<void> {
  const { rule, profile } = job;
  let progress: StreamProgress = {
    lastEventId: job.head.lastEventId,
    events: 0,
    meanGapMs: 0,
    lastActivityMs: job.arrivedMs,
  };
  const tokens = estimateTokens(job);
  let sentAttempts = 0;
  const brokenRuns: Promise<boolean>[] = [];
  let mayHaveRun = false;
  let lastOutcome: AttemptOutcome | undefined;
  host.retryBudgets.recordRequest(profile.name);
  for (let attempt = 0; attempt < MAX_ATTEMPTS && !job.isOver(); attempt += 1) {
    const stages = await waitForChain(host, job, queue, tokens, progress.events > 0);
    if (job.isOver()) return;
    const hasAttempts = await hasAttemptsLeft(brokenRuns, rule.maxAttempts);
    const mayRepeat =
      sentAttempts === 0 || (hasAttempts && host.retryBudgets.trySpendRetry(profile.name));
    if (stages === undefined || !mayRepeat) break;
    const outcome = await runStreamAttempt(host, {
      job,
      model: profile.model,
      stages,
      tokens,
      expectedEvents: estimateEvents(job),
      progress,
      onProgress: (next) => {
        progress = next;
      },
    });
    logAttempt(host, job, stages, outcome, progress);
    if (outcome.type === 'stopped') return;
    lastOutcome = outcome;
    const entry = stages[0]?.id ?? '';
    if (outcome.type === 'unreached') host.registry.suspect(entry, outcome.detail);
    else sentAttempts += 1;
    if (outcome.type === 'complete') {
      job.response.end();
      return;
    }
    if (outcome.type === 'answered') break;
    if (outcome.type === 'not-run') backOffRefusingEngine(host, outcome.fault, entry);
    if (outcome.type === 'broken') {
      mayHaveRun = true;
      if (!rule.isResumable) break;
      brokenRuns.push(isStillRunning(host, entry));
      host.registry.backOff(entry, ENGINE_BACKOFF_MS);
    }
  }
  if (!job.isOver()) sendFinalResponse(host, job, lastOutcome, mayHaveRun);
}

/** Minimum tokens in an event; the estimated number of events is therefore rather too high. */
const TOKENS_PER_EVENT = 2;

function estimateEvents({ head, profile }: Job): number {
  const meanAnswerTokens = profile.model?.meanAnswerTokens ?? 0;
  return (
    Math.min(head.maxAnswerTokens, head.expectedAnswerTokens ?? meanAnswerTokens) / TOKENS_PER_EVENT
  );
}

/** Whether an engine still runs after it broke a stream; only then does the run count as an attempt. */
async function isStillRunning(host: GatewayHost, server: string): Promise<boolean> {
  const result = await host.probes.ask(server);
  const isSuspected = host.registry.suspicions().some(({ id }) => id === server);
  return result.type === 'report' && !isSuspected;
}

async function hasAttemptsLeft(
  runs: readonly Promise<boolean>[],
  maxAttempts: number,
): Promise<boolean> {
  if (runs.length < maxAttempts) return true;
  const counted = await Promise.all(runs);
  return counted.filter(Boolean).length < maxAttempts;
}

/** Estimates the tokens of the prompt and the answer together. */
function estimateTokens({ head, profile }: Job): number {
  const meanAnswerTokens = profile.model?.meanAnswerTokens ?? 0;
  const answerTokens = head.expectedAnswerTokens ?? meanAnswerTokens;
  return head.promptTokens + Math.min(head.maxAnswerTokens, answerTokens);
}

async function waitForChain(
  host: GatewayHost,
  job: Job,
  queue: AdmissionQueue,
  tokens: number,
  hasBegun: boolean,
): Promise<readonly Stage[] | undefined> {
  const firstWaitMs = job.isRetry ? RETRY_WAIT_MS : job.rule.targetMs * FIRST_EVENT_WAIT_SHARE;
  const maxWaitMs = hasBegun ? RESUME_WAIT_MS : firstWaitMs;
  const maxStartMs = job.rule.targetMs * MAX_FIRST_EVENT_TARGETS;
  const untilMs = Math.min(job.expiresMs, host.now() + maxWaitMs);
  // Probes only once: servers that do not answer probes must not delay the request further.
  let mayProbe = host.isRecentlyStarted();
  for (;;) {
    const stages = findAvailableChain(host, job, tokens, hasBegun ? undefined : maxStartMs);
    if (stages !== undefined) {
      const ids = stages.map(({ id }) => id);
      const hasNewReports = mayProbe && (await host.probes.askUnreported(ids));
      if (!hasNewReports) return stages;
      mayProbe = false;
    } else {
      const isWoken = await queue.wait(hasBegun ? -1 : job.priority, untilMs);
      if (!isWoken) return undefined;
    }
    if (job.isOver()) return undefined;
  }
}

function findAvailableChain(
  host: GatewayHost,
  job: Job,
  tokens: number,
  /** Undefined for a stream that has already sent events. */
  maxStartMs: number | undefined,
): readonly Stage[] | undefined {
  const { registry } = host;
  const { name, model } = job.profile;
  if (model === undefined) {
    const [server] = [...registry.usableServers(name)].sort(
      (one, other) =>
        registry.running(one.id) / one.slots - registry.running(other.id) / other.slots,
    );
    if (server === undefined) return undefined;
    return [{ id: server.id, address: server.address, layers: { from: 0, to: 0 } }];
  }
  return findChain({
    engines: jitterLoads(registry.chainEngines(name, model), host.vms(), host.random),
    layers: { from: 0, to: model.layers },
    tokens,
    fromDomain: host.failureDomain,
    domainDelayMs: model.domainDelayMs,
    crossDomainMs: computeCrossDomainCost(
      model,
      registry.crossingShare(model),
      maxStartMs === undefined,
    ),
    excluded: new Set(),
    isEntry: true,
    ...(maxStartMs === undefined ? {} : { maxFirstEventDelayMs: maxStartMs }),
  });
}

/** Backs off and probes the engine at fault, or the first engine where the chain named none. */
function backOffRefusingEngine(host: GatewayHost, fault: string | undefined, entry: string): void {
  const refusingId = host.registry.findByAddress(fault ?? '')?.id ?? entry;
  host.registry.backOff(refusingId, ENGINE_BACKOFF_MS);
  void host.probes.ask(refusingId);
}

function computeRoundedCrossingShare(
  model: PipelineModel | undefined,
  host: GatewayHost,
): number | undefined {
  if (model === undefined) return undefined;
  return Math.round(host.registry.crossingShare(model) * 100) / 100;
}

function logAttempt(
  host: GatewayHost,
  job: Job,
  stages: readonly Stage[],
  outcome: AttemptOutcome,
  progress: StreamProgress,
): void {
  host.count('stream_attempts', outcome.type);
  host.log('stream attempt', {
    id: job.head.id,
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

function sendFinalResponse(
  host: GatewayHost,
  job: Job,
  outcome: AttemptOutcome | undefined,
  mayHaveRun: boolean,
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
  const reason = mayHaveRun ? 'unknown-outcome' : 'not-run';
  const baseMs = outcome === undefined ? chooseRetryDelay(host, job) : FULL_RETRY_MS;
  host.count('refusals', reason);
  host.log('stream given up', { id: job.head.id, reason, cause: outcome?.type ?? 'no chain' });
  refuseJob(response, reason, host.protocol, {
    retryAfterMs: mayHaveRun ? undefined : baseMs * (0.5 + host.random()),
  });
}

/** Where no chain covers the model, engines must load layers before a retry can succeed. */
function chooseRetryDelay(host: GatewayHost, job: Job): number {
  const empty = findAvailableChain(host, job, 0, Infinity);
  return empty === undefined ? NO_CHAIN_RETRY_MS : FULL_RETRY_MS;
}
