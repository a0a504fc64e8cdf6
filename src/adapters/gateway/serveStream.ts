/**
 * Serves a stream over as many attempts as it takes: each goes on after the last event that the caller
 * has, so that the caller sees one stream with every event once.
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
import type { AttemptEnd } from './runStreamAttempt';
import type { StreamProgress } from '../../gateway/streamProgress';

/** Part of the first event's target that a request may wait for room. */
const WAIT_SHARE = 0.25;

/** Targets of the first event that it may be expected to take; beyond, coming back is no later. */
const MAX_START_TARGETS = 1.5;

/** Longest wait of a caller that has asked before, milliseconds: late already, it may not ask again. */
const RETURNING_WAIT_MS = 400;

/** Longest wait of a stream that has begun for room to go on, milliseconds; callers leave soon after. */
const RESUME_WAIT_MS = 1_200;

/** Rest of an engine that had no room or part, milliseconds: until other work on it has moved. */
const REST_MS = 300;

/** When to come back where chains are full, and where there is none, milliseconds. */
const FULL_RETRY_MS = 2_500;
const NO_CHAIN_RETRY_MS = 2_500;

/** Attempts after which a stream is given up, however they failed. */
const MAX_ATTEMPTS = 6;

/** Serves the job to its end. */
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
  const tokens = expectedTokens(job);
  let sent = 0;
  const runs: Promise<boolean>[] = [];
  let mayHaveRun = false;
  let lastEnd: AttemptEnd | undefined;
  host.retryBudgets.recordRequest(profile.name);
  for (let attempt = 0; attempt < MAX_ATTEMPTS && !job.isOver(); attempt += 1) {
    const stages = await awaitChain(host, job, queue, tokens, progress.events > 0);
    if (job.isOver()) return;
    const hasAttempts = await hasAttemptsLeft(runs, rule.maxAttempts);
    const mayRepeat = sent === 0 || (hasAttempts && host.retryBudgets.trySpendRetry(profile.name));
    if (stages === undefined || !mayRepeat) break;
    const end = await runStreamAttempt(host, {
      job,
      model: profile.model,
      stages,
      tokens,
      expectedEvents: expectedEvents(job),
      progress,
      onProgress: (next) => {
        progress = next;
      },
    });
    logAttempt(host, job, stages, end, progress);
    if (end.type === 'stopped') return;
    lastEnd = end;
    const entry = stages[0]?.id ?? '';
    if (end.type === 'unreached') host.registry.suspect(entry, end.detail);
    else sent += 1;
    if (end.type === 'complete') {
      job.response.end();
      return;
    }
    if (end.type === 'answered') break;
    if (end.type === 'not-run') noteRefusal(host, end.fault, entry);
    if (end.type === 'broken') {
      mayHaveRun = true;
      if (!rule.isResumable) break;
      runs.push(isStillRunning(host, entry));
      host.registry.backOff(entry, REST_MS);
    }
  }
  if (!job.isOver()) finish(host, job, lastEnd, mayHaveRun);
}

/** Tokens that an event holds at least; an estimate of the events errs on the side of too many. */
const TOKENS_PER_EVENT = 2;

function expectedEvents({ head, profile }: Job): number {
  const usual = profile.model?.meanAnswerTokens ?? 0;
  return Math.min(head.maxAnswerTokens, head.expectedAnswerTokens ?? usual) / TOKENS_PER_EVENT;
}

/** Whether an engine on which a run broke off lives on, so that the run counts as an attempt. */
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

/** Prompt and answer as far as they can be foreseen. */
function expectedTokens({ head, profile }: Job): number {
  const usual = profile.model?.meanAnswerTokens ?? 0;
  const answer = head.expectedAnswerTokens ?? usual;
  return head.promptTokens + Math.min(head.maxAnswerTokens, answer);
}

async function awaitChain(
  host: GatewayHost,
  job: Job,
  queue: AdmissionQueue,
  tokens: number,
  hasBegun: boolean,
): Promise<readonly Stage[] | undefined> {
  const firstWaitMs = job.isRetry ? RETURNING_WAIT_MS : job.rule.targetMs * WAIT_SHARE;
  const patienceMs = hasBegun ? RESUME_WAIT_MS : firstWaitMs;
  const maxStartMs = job.rule.targetMs * MAX_START_TARGETS;
  const untilMs = Math.min(job.expiresMs, host.now() + patienceMs);
  // Once: a server that answers no such question must not hold the request up.
  let mayAsk = host.isRecentlyStarted();
  for (;;) {
    const stages = searchChain(host, job, tokens, hasBegun ? undefined : maxStartMs);
    if (stages !== undefined) {
      const ids = stages.map(({ id }) => id);
      const isNews = mayAsk && (await host.probes.askUnreported(ids));
      if (!isNews) return stages;
      mayAsk = false;
    } else {
      const isWoken = await queue.wait(hasBegun ? -1 : job.priority, untilMs);
      if (!isWoken) return undefined;
    }
    if (job.isOver()) return undefined;
  }
}

function searchChain(
  host: GatewayHost,
  job: Job,
  tokens: number,
  /** Undefined for a stream that has begun. */
  maxStartMs: number | undefined,
): readonly Stage[] | undefined {
  const { registry: board } = host;
  const { name, model } = job.profile;
  if (model === undefined) {
    const [server] = [...board.usableServers(name)].sort(
      (one, other) => board.running(one.id) / one.slots - board.running(other.id) / other.slots,
    );
    if (server === undefined) return undefined;
    return [{ id: server.id, address: server.address, layers: { from: 0, to: 0 } }];
  }
  return findChain({
    engines: jitterLoads(board.chainEngines(name, model), host.vms(), host.random),
    layers: { from: 0, to: model.layers },
    tokens,
    fromDomain: host.failureDomain,
    domainDelayMs: model.domainDelayMs,
    crossDomainMs: computeCrossDomainCost(
      model,
      board.crossingShare(model),
      maxStartMs === undefined,
    ),
    excluded: new Set(),
    isEntry: true,
    ...(maxStartMs === undefined ? {} : { maxFirstEventDelayMs: maxStartMs }),
  });
}

/** Spares the engine that the chain named, or asks the first one where none was named. */
function noteRefusal(host: GatewayHost, fault: string | undefined, entry: string): void {
  const blamed = host.registry.findByAddress(fault ?? '')?.id ?? entry;
  host.registry.backOff(blamed, REST_MS);
  void host.probes.ask(blamed);
}

function roundShare(model: PipelineModel | undefined, host: GatewayHost): number | undefined {
  if (model === undefined) return undefined;
  return Math.round(host.registry.crossingShare(model) * 100) / 100;
}

function logAttempt(
  host: GatewayHost,
  job: Job,
  stages: readonly Stage[],
  end: AttemptEnd,
  progress: StreamProgress,
): void {
  host.count('stream_attempts', end.type);
  host.log('stream attempt', {
    id: job.head.id,
    end: end.type,
    detail: 'detail' in end ? end.detail : undefined,
    fault: end.type === 'not-run' ? end.fault : undefined,
    entry: stages[0]?.id,
    stages: stages.length,
    crossings: host.registry.countCrossDomainHops(stages),
    crossingShare: roundShare(job.profile.model, host),
    events: progress.events,
    lastEventId: progress.lastEventId,
    tookMs: Math.round(host.now() - job.arrivedMs),
  });
}

function finish(
  host: GatewayHost,
  job: Job,
  end: AttemptEnd | undefined,
  mayHaveRun: boolean,
): void {
  const { response } = job;
  if (end?.type === 'answered' && !response.headersSent) {
    response.writeHead(end.reply.status, {
      ...end.reply.headers,
      'content-length': end.reply.body.length,
    });
    response.end(end.reply.body);
    return;
  }
  const reason = mayHaveRun ? 'unknown-outcome' : 'not-run';
  const baseMs = end === undefined ? retryAfter(host, job) : FULL_RETRY_MS;
  host.count('refusals', reason);
  host.log('stream given up', { id: job.head.id, reason, cause: end?.type ?? 'no chain' });
  refuseJob(response, reason, host.protocol, {
    retryAfterMs: mayHaveRun ? undefined : baseMs * (0.5 + host.random()),
  });
}

/** Longer where no chain covers the model: engines have to load layers first. */
function retryAfter(host: GatewayHost, job: Job): number {
  const empty = searchChain(host, job, 0, Infinity);
  return empty === undefined ? NO_CHAIN_RETRY_MS : FULL_RETRY_MS;
}
