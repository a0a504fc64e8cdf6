/**
 * Serves a stream in one or more attempts. Each attempt continues after the last event that the caller has,
 * so the caller sees one stream with every event exactly once.
 */

import type { Stage } from '../../chains/layerEngine';
import type { PipelineModel } from '../../chains/pipelineModel';
import type { PeerRecord } from '../../peers/peer';
import type { AdmissionQueue } from './createAdmissionQueue';
import { createHarmlessRunDetector } from '../../gateway/createHarmlessRunDetector';
import type { GatewayHost, Job } from '../../gateway/job';
import { findForwardingPeer } from './findForwardingPeer';
import { forwardStream } from './forwardStream';
import { finishStream } from './finishStream';
import type { StreamLimit } from './finishStream';
import { reserveStreamChain } from './reserveStreamChain';
import type { ReservedChain } from './reserveStreamChain';
import { runStreamAttempt } from './runStreamAttempt';
import type { AttemptOutcome } from './attemptOutcome';
import type { StreamProgress } from '../../gateway/streamProgress';
import { waitForStreamChain } from './waitForStreamChain';

/** Back-off of an engine that refused or broke an attempt: until its other work has progressed. */
const ENGINE_BACKOFF_MS = 300;

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
  /** Servers that may have run the request; a server that is silent afterwards still counts. */
  const runServers = new Set(job.forwarded?.servers);
  let sentAttempts = runServers.size;
  let isCounted = job.forwarded?.isCounted === true;
  /** VMs that the stream was forwarded to. */
  const triedPeers = new Set<string>();
  const findPeer = (): PeerRecord | undefined => findForwardingPeer(host, job, triedPeers);
  /** Whether a retry was spent for the next attempt. */
  let isRetrySpent = false;
  /** A chain that a silent stream may move to. */
  let prepared: ReservedChain | undefined;
  let lastOutcome: AttemptOutcome | undefined;
  let limit: StreamLimit | undefined;
  const trySpendRetry = (): boolean => {
    isRetrySpent ||= host.retryBudgets.trySpendRetry(profile.name);
    return isRetrySpent;
  };
  /** Moves only to a server that has not had the request, so that silences do not send it to and fro. */
  const prepareMove = (entry: string): StreamLimit | undefined => {
    if (!rule.isResumable) return 'not resumable';
    if (host.contentSuspicions.isSuspect(job.contents)) return 'held back';
    const excluded = new Set([...runServers, entry]);
    if (excluded.size >= rule.maxAttempts) return 'attempts of the route';
    if (findPeer() !== undefined) return undefined;
    const hasBegun = progress.events > 0;
    prepared = reserveStreamChain(host, job, { tokens, hasBegun, excluded });
    if (prepared === undefined) return 'no chain';
    if (trySpendRetry()) return undefined;
    prepared.reservation.cancel();
    prepared = undefined;
    return 'retry budget';
  };
  for (let attempt = 0; attempt < MAX_ATTEMPTS && !job.isOver(); attempt += 1) {
    const entries = runServers.size < rule.maxAttempts ? undefined : runServers;
    const hasBegun = progress.events > 0;
    const isTried = sentAttempts > 0 && host.contentSuspicions.isSuspect(job.contents);
    if (isTried || host.contentSuspicions.heldMs(job.contents) > 0) {
      limit = 'held back';
      break;
    }
    const peer = findPeer();
    if (peer !== undefined) {
      triedPeers.add(peer.vm);
      const servers = [...runServers];
      const onProgress = (next: StreamProgress): void => {
        progress = next;
      };
      const options = { job, peer, servers, isCounted, progress, onProgress };
      const outcome = await forwardStream(host, options);
      isCounted = true;
      if (outcome.type === 'stopped') return;
      lastOutcome = outcome;
      if (outcome.type === 'complete') {
        job.response.end();
        return;
      }
      if (outcome.type === 'answered') break;
      if (outcome.type !== 'broken') continue;
      // At least one server may have run it there.
      runServers.add(`vm ${peer.vm}`);
      sentAttempts += 1;
      if (!rule.isResumable) break;
      continue;
    }
    if (!isCounted) host.retryBudgets.recordRequest(profile.name);
    isCounted = true;
    const chain =
      prepared ?? (await waitForStreamChain(host, job, queue, { tokens, hasBegun, entries }));
    prepared = undefined;
    if (chain === undefined) {
      limit = entries === undefined ? 'no chain' : 'attempts of the route';
      break;
    }
    if (sentAttempts > 0 && !trySpendRetry()) {
      chain.reservation.cancel();
      limit = 'retry budget';
      break;
    }
    const { stages } = chain;
    const entry = stages[0]?.id ?? '';
    const incarnation = host.registry.find(entry);
    const usedRetry: boolean = isRetrySpent;
    isRetrySpent = false;
    const eventsBefore = progress.events;
    const detector = createHarmlessRunDetector(host.now);
    const outcome = await runStreamAttempt(host, {
      job,
      model: profile.model,
      chain,
      tokens,
      expectedEvents: estimateEvents(job),
      progress,
      onProgress: (next) => {
        progress = next;
        const isNews = detector.recordEvents(next.events - eventsBefore);
        if (isNews) host.contentSuspicions.recordHarmlessRun(job.contents);
      },
      prepareMove: () =>
        attempt + 1 < MAX_ATTEMPTS ? prepareMove(entry) : 'attempts of the route',
    });
    logAttempt(host, job, stages, outcome, progress);
    if (outcome.type === 'stopped') return;
    lastOutcome = outcome;
    if (outcome.type === 'unreached') {
      const reason = outcome.isRefused === true ? 'refused' : 'unreached';
      host.registry.suspect(entry, reason, outcome.detail);
      isRetrySpent = usedRetry;
      await host.partition.verify();
    } else sentAttempts += 1;
    if (outcome.type === 'complete') {
      if (outcome.isFramed) host.contentSuspicions.recordHarmlessRun(job.contents);
      job.response.end();
      return;
    }
    if (outcome.type === 'answered') break;
    if (outcome.type === 'not-run') backOffRefusingEngine(host, outcome.fault, entry);
    if (outcome.type === 'broken') {
      runServers.add(entry);
      const isSuspicious = outcome.isLost === true && !detector.isHarmless();
      if (isSuspicious && incarnation !== undefined) {
        host.contentSuspicions.recordLoss(incarnation, job.contents);
      }
      void host.probes.ask(entry);
      if (!rule.isResumable) break;
      host.registry.backOff(entry, ENGINE_BACKOFF_MS);
    }
  }
  // The caller may have left just after a move was prepared.
  prepared?.reservation.cancel();
  if (job.isOver()) return;
  const { events } = progress;
  finishStream(host, job, lastOutcome, { limit, events, runs: runServers.size });
}

/** Estimates the tokens of the prompt and the answer together. */
function estimateTokens({ head, profile }: Job): number {
  const meanAnswerTokens = profile.model?.meanAnswerTokens ?? 0;
  const answerTokens = head.expectedAnswerTokens ?? meanAnswerTokens;
  return head.promptTokens + Math.min(head.maxAnswerTokens, answerTokens);
}

/** Minimum tokens in an event; the estimated number of events is therefore rather too high. */
const TOKENS_PER_EVENT = 2;

function estimateEvents({ head, profile }: Job): number {
  const meanAnswerTokens = profile.model?.meanAnswerTokens ?? 0;
  return (
    Math.min(head.maxAnswerTokens, head.expectedAnswerTokens ?? meanAnswerTokens) / TOKENS_PER_EVENT
  );
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
