/**
 * Keeps what the attempts at one stream have in common: its progress, the servers that may have run it and
 * the retries that were spent. A silent attempt moves by a second one that is started beside it. The first
 * of the two that speaks goes on, so a server that turns the second away costs the caller nothing.
 */

import type { ListedServer, Stage } from '../../chains/layerEngine';
import { SILENT_LOSS_VALID_MS } from '../../gateway/contentSuspicions';
import { createHarmlessRunDetector } from '../../gateway/createHarmlessRunDetector';
import type { HarmlessRunDetector } from '../../gateway/createHarmlessRunDetector';
import type { GatewayHost, Job } from '../../gateway/job';
import type { StreamProgress } from '../../gateway/streamProgress';
import type { AttemptOutcome } from './attemptOutcome';
import { estimateStreamSize } from './estimateStreamSize';
import type { StreamLimit } from './finishStream';
import { logStreamAttempt } from './logStreamAttempt';
import { reserveStreamChain } from './reserveStreamChain';
import type { ReservedChain } from './reserveStreamChain';
import { runStreamAttempt } from './runStreamAttempt';
import type { StreamAttempt } from './runStreamAttempt';

/** An attempt, with what is known of its first engine. */
export interface RunningAttempt extends StreamAttempt {
  readonly entry: string;
  readonly stages: readonly Stage[];
  /** The first engine as it was listed when the attempt began. */
  readonly incarnation: ListedServer | undefined;
  readonly detector: HarmlessRunDetector;
  /** Whether it runs the whole request, not the rest of a stream. */
  readonly isFromStart: boolean;
  /** Whether a retry was spent for it. */
  readonly usedRetry: boolean;
}

export interface StreamAttempts {
  readonly progress: () => StreamProgress;
  readonly onProgress: (progress: StreamProgress) => void;
  /** Servers that may have run the request; a server that is silent afterwards still counts. */
  readonly runServers: ReadonlySet<string>;
  /** Attempts that reached a server. */
  readonly sent: () => number;
  readonly mayStart: () => boolean;
  /** @returns false if the retry budget is spent; a retry that no attempt has used yet counts once */
  readonly trySpendRetry: () => boolean;
  readonly start: (chain: ReservedChain) => RunningAttempt;
  /** The attempt to which the last one was moving when it ended. */
  readonly takeSuccessor: () => RunningAttempt | undefined;
  /** Records how an attempt ended. */
  readonly settle: (ended: RunningAttempt, outcome: AttemptOutcome) => Promise<void>;
  /** Records an attempt on another VM. */
  readonly settleForwarded: (vm: string) => void;
}

/** Back-off of an engine that refused or broke an attempt: until its other work has progressed. */
const ENGINE_BACKOFF_MS = 300;

/** Attempts after which a stream is abandoned, whatever the failures were. */
const MAX_ATTEMPTS = 6;

/** Another attempt speaks in place of the silent one. */
const SUPERSEDED: AttemptOutcome = { type: 'broken', detail: 'silent' };

/**
 * @param canForward whether another VM would serve the next attempt
 */
export function createStreamAttempts(
  host: GatewayHost,
  job: Job,
  canForward: () => boolean,
): StreamAttempts {
  const { rule, profile } = job;
  const { tokens, events: expectedEvents } = estimateStreamSize(job);
  const runServers = new Set(job.forwarded?.servers);
  let progress: StreamProgress = {
    lastEventId: job.head.lastEventId,
    events: 0,
    meanGapMs: 0,
    lastActivityMs: job.arrivedMs,
  };
  let sentCount = runServers.size;
  let startedCount = 0;
  let isRetrySpent = false;
  /** A chain that a silent stream may move to. */
  let prepared: ReservedChain | undefined;
  let successor: RunningAttempt | undefined;

  const mayStart = (): boolean => startedCount < MAX_ATTEMPTS;
  const trySpendRetry = (): boolean => {
    isRetrySpent ||= host.retryBudgets.trySpendRetry(profile.name);
    return isRetrySpent;
  };
  /** Moves only to a server that has not had the request, so that silences do not send it to and fro. */
  const prepareMove = (entry: string, mayCross: boolean): StreamLimit | undefined => {
    if (!rule.isResumable) return 'not resumable';
    if (!mayStart() || successor !== undefined) return 'attempts of the route';
    if (host.contentSuspicions.isSuspect(job.contents)) return 'held back';
    const excluded = new Set([...runServers, entry]);
    if (excluded.size >= rule.maxAttempts) return 'attempts of the route';
    if (canForward()) return undefined;
    const hasBegun = progress.events > 0;
    prepared = reserveStreamChain(host, job, { tokens, hasBegun, excluded, mayCross });
    if (prepared === undefined) return 'no chain';
    if (trySpendRetry()) return undefined;
    prepared.reservation.cancel();
    prepared = undefined;
    return 'retry budget';
  };
  const settle = async (ended: RunningAttempt, outcome: AttemptOutcome): Promise<void> => {
    const { entry, incarnation, detector } = ended;
    logStreamAttempt(host, job, { stages: ended.stages, outcome, progress });
    if (outcome.type === 'unreached') {
      const reason = outcome.isRefused === true ? 'refused' : 'unreached';
      host.registry.suspect(entry, reason, outcome.detail);
      isRetrySpent ||= ended.usedRetry;
      await host.partition.verify();
      return;
    }
    if (incarnation !== undefined && (outcome.type === 'stopped' || outcome === SUPERSEDED)) {
      const loss = { ranMs: detector.ranMs(), validMs: SILENT_LOSS_VALID_MS };
      host.contentSuspicions.recordLoss(incarnation, job.contents, loss);
    }
    if (outcome.type === 'stopped') return;
    sentCount += 1;
    if (outcome.type === 'not-run') {
      backOffRefusingEngine(host, outcome.fault, entry);
      return;
    }
    runServers.add(entry);
    if (outcome.type !== 'broken') return;
    if (outcome.isLost === true && incarnation !== undefined) {
      host.contentSuspicions.recordLoss(incarnation, job.contents, { ranMs: detector.ranMs() });
    }
    void host.probes.ask(entry, 'lost_run');
    if (rule.isResumable) host.registry.backOff(entry, ENGINE_BACKOFF_MS);
  };
  const startAttempt = (chain: ReservedChain, predecessor?: StreamAttempt): RunningAttempt => {
    startedCount += 1;
    const { stages } = chain;
    const entry = stages[0]?.id ?? '';
    const incarnation = host.registry.find(entry);
    const usedRetry = isRetrySpent;
    isRetrySpent = false;
    const eventsBefore = progress.events;
    const detector = createHarmlessRunDetector(host.now);
    const isFromStart = eventsBefore === 0 && job.head.lastEventId === undefined;
    /** Engines of the path of which one was lost; the others may be lost for the same reason. */
    let countedPath: ReadonlySet<string> = new Set();
    const attempt: StreamAttempt = runStreamAttempt(host, {
      job,
      model: profile.model,
      chain,
      tokens,
      expectedEvents,
      progress,
      onProgress: (next) => {
        progress = next;
        const isNews = detector.recordEvents(next.events - eventsBefore);
        if (isNews) host.contentSuspicions.recordHarmlessRun(job.contents, detector.ranMs());
      },
      onEngineLost: (id, path) => {
        const lost = host.registry.find(id);
        if (lost === undefined || countedPath.has(id)) return;
        countedPath = new Set(path);
        host.contentSuspicions.recordLoss(lost, job.contents, { ranMs: detector.ranMs() });
      },
      onSpeak: () => {
        predecessor?.end(SUPERSEDED);
        if (successor?.outcome !== attempt.outcome) successor?.end({ type: 'overtaken' });
      },
      prepareMove: (mayCross) => prepareMove(entry, mayCross),
      onMove: () => {
        const chosen = prepared;
        prepared = undefined;
        if (chosen === undefined) attempt.end(SUPERSEDED);
        else startSuccessor(chosen, attempt);
      },
    });
    return { ...attempt, entry, stages, incarnation, detector, isFromStart, usedRetry };
  };
  const startSuccessor = (chain: ReservedChain, predecessor: StreamAttempt): void => {
    const started = startAttempt(chain, predecessor);
    let isPredecessorOver = false;
    successor = started;
    void predecessor.outcome.then(() => {
      isPredecessorOver = true;
    });
    void started.outcome.then((outcome) => {
      // Whoever waits for the predecessor takes the successor, and settles it.
      if (isPredecessorOver) return;
      successor = undefined;
      void settle(started, outcome);
    });
  };
  return {
    progress: () => progress,
    onProgress: (next) => {
      progress = next;
    },
    runServers,
    sent: () => sentCount,
    mayStart,
    trySpendRetry,
    start: startAttempt,
    takeSuccessor: () => {
      const taken = successor;
      successor = undefined;
      return taken;
    },
    settle,
    settleForwarded: (vm) => {
      // At least one server may have run it there.
      runServers.add(`vm ${vm}`);
      sentCount += 1;
      startedCount += 1;
    },
  };
}

/** Backs off and probes the engine at fault, or the first engine where the chain named none. */
function backOffRefusingEngine(host: GatewayHost, fault: string | undefined, entry: string): void {
  const refusingId = host.registry.findByAddress(fault ?? '')?.id ?? entry;
  host.registry.backOff(refusingId, ENGINE_BACKOFF_MS);
  void host.probes.ask(refusingId, 'refused_request');
}
