/**
 * One attempt at a stream over a chain of engines: sends the request to the first engine, forwards complete
 * events, and repairs the chain while the stream runs.
 */

import type { IncomingMessage } from 'node:http';
import type { PipelineModel } from '../../chains/pipelineModel';
import { mayProbeEarly } from '../evidence/mayProbeEarly';
import { recordEventGap } from '../evidence/recordEventGap';
import { createChainRepair } from './createChainRepair';
import { continuesStream } from './continuesStream';
import { createStreamMove } from './createStreamMove';
import { isReplyTo } from '../../gateway/isReplyTo';
import type { GatewayHost, Job } from '../../gateway/job';
import { evaluateSilence } from '../../gateway/evaluateSilence';
import { isFramed } from './isFramed';
import { openExchange } from './openExchange';
import { planStreamMigration } from '../../gateway/planStreamMigration';
import { readReplyBody } from './readReplyBody';
import { readStreamEvents } from './readStreamEvents';
import { recordReplyNotices } from './recordReplyNotices';
import type { ReservedChain } from './reserveStreamChain';
import type { StreamEvent } from '../../gateway/splitEvents';
import { isNewer, recordEvent } from '../../gateway/streamProgress';
import type { StreamProgress } from '../../gateway/streamProgress';
import type { AttemptOutcome } from './attemptOutcome';
import { writeStreamHead } from './writeStreamHead';
import type { StreamLimit } from './finishStream';

/** Delay before a failed migration is retried, doubled each time because orders are expensive. */
const MIGRATION_RETRY_MS = 400;

/** Maximum migration tries; a stream that has found no capacity by then mostly ends before there is some. */
const MAX_MIGRATION_TRIES = 3;

export interface StreamAttemptOptions {
  readonly job: Job;
  /** Undefined for a service without chains, where one server answers the whole request. */
  readonly model: PipelineModel | undefined;
  readonly chain: ReservedChain;
  /** Expected tokens of prompt and answer at the end of the request. */
  readonly tokens: number;
  /** Expected number of events of the whole stream. */
  readonly expectedEvents: number;
  readonly progress: StreamProgress;
  readonly onProgress: (progress: StreamProgress) => void;
  /** Called for an engine after the first that seems to be lost, with all engines of the path. */
  readonly onEngineLost: (id: string, path: readonly string[]) => void;
  /** Called before the attempt writes anything to the caller. */
  readonly onSpeak: () => void;
  /**
   * Prepares another attempt; returns what rules it out, undefined if the stream may move.
   *
   * @param mayCross whether its chain may use the links between failure domains
   */
  readonly prepareMove: (mayCross: boolean) => StreamLimit | undefined;
  /** Starts the prepared attempt; this one goes on until the other one speaks. */
  readonly onMove: () => void;
}

export interface StreamAttempt {
  /** Resolves when the attempt has ended. */
  readonly outcome: Promise<AttemptOutcome>;
  /** Ends the attempt with the outcome; without effect after its end. */
  readonly end: (outcome: AttemptOutcome) => void;
}

/** Starts an attempt. */
export function runStreamAttempt(host: GatewayHost, options: StreamAttemptOptions): StreamAttempt {
  let end: StreamAttempt['end'] = () => undefined;
  const outcome = new Promise<AttemptOutcome>((resolve) => {
    end = executeAttempt(host, options, resolve);
  });
  return { outcome, end };
}

/** @returns ends the attempt */
function executeAttempt(
  host: GatewayHost,
  options: StreamAttemptOptions,
  resolve: (end: AttemptOutcome) => void,
): (outcome: AttemptOutcome) => void {
  const { job, model, tokens } = options;
  const { stages, reservation } = options.chain;
  const { protocol, registry, watch, now } = host;
  const startedMs = now();
  let progress: StreamProgress = { ...options.progress, lastActivityMs: startedMs };
  const firstEventDelay = host.firstEventDelays.trackStream(stages[0]?.id ?? '');
  let hasOwnEvents = false;
  let isRunGone = false;
  const migrationTimers = new Set<NodeJS.Timeout>();
  let isOver = false;
  const [entry] = stages;
  if (entry === undefined) {
    reservation.release();
    resolve({ type: 'unreached', detail: 'empty chain' });
    return () => undefined;
  }

  const chain = createChainRepair(host, {
    job,
    model,
    tokens,
    stages,
    reservation,
    isOver: () => isOver,
    hasEvents: () => hasOwnEvents,
    silentMs: () => now() - progress.lastActivityMs,
    tryMoveNear: () => {
      const silentMs = now() - progress.lastActivityMs;
      return exchange.isSent() && move.tryMove(silentMs, { mayCross: false });
    },
    onRunGone: () => {
      isRunGone = true;
    },
  });
  const endAttempt = (outcome: AttemptOutcome): void => {
    if (isOver) return;
    isOver = true;
    if (outcome.type === 'broken' && outcome.isOversized === true) host.count('oversized_replies');
    watch.remove(watchedStream);
    for (const move of migrationTimers) clearTimeout(move);
    chain.release();
    firstEventDelay.ended();
    exchange.abort();
    resolve(outcome);
  };
  const recordGap = (gapMs: number): void => {
    recordEventGap(host, job, {
      gapMs,
      meanGapMs: hasOwnEvents ? progress.meanGapMs : undefined,
      events: progress.events,
      sinceRepairMs: now() - chain.repairedMs(),
      lastCause: chain.lastCause(),
    });
  };
  const deliver = (events: readonly StreamEvent[]): void => {
    const newEvents = events.filter(({ id }) => isNewer(id, progress.lastEventId));
    if (newEvents.length === 0) return;
    options.onSpeak();
    const nowMs = now();
    // For the caller, a pause goes on from the last event of the attempt before.
    let lastEventMs = (hasOwnEvents ? progress : options.progress).lastActivityMs;
    for (const { id } of newEvents) {
      if (progress.events === 0) host.observe('first_event', nowMs - job.arrivedMs);
      else recordGap(nowMs - lastEventMs);
      lastEventMs = nowMs;
      progress = recordEvent(progress, id, nowMs);
    }
    if (!hasOwnEvents) firstEventDelay.started();
    hasOwnEvents = true;
    registry.recordEvent(entry.id);
    registry.recordPassage(chain.engines());
    options.onProgress(progress);
    job.response.write(Buffer.concat(newEvents.map(({ bytes }) => bytes)));
    host.countUnsent(job.response);
  };
  const receiveReply = (reply: IncomingMessage): void => {
    const status = reply.statusCode ?? 0;
    const head = protocol.readReply(status, reply.headers);
    recordReplyNotices(host, {
      server: entry.id,
      requestId: job.head.id,
      sentMs: startedMs,
      head,
    });
    const isOwn = isReplyTo(head, job.head.id);
    if (isOwn && head.isNotRun) {
      reply.destroy();
      endAttempt({ type: 'not-run', fault: head.faultAddress, detail: `status ${status}` });
      return;
    }
    const isSuccess = status >= 200 && status < 300;
    const isUsable = isOwn && head.isSealed && head.isUnencoded;
    if (!isUsable || (isSuccess && !continuesStream(job.response, status, reply.headers))) {
      reply.destroy();
      const detail = isUsable ? 'not the rest of the stream' : 'reply without own signature';
      endAttempt({ type: 'broken', detail });
      return;
    }
    if (head.isLeaving) registry.recordLeaving(entry.id);
    if (isSuccess) {
      if (!job.response.headersSent) options.onSpeak();
      writeStreamHead(job.response, protocol, status, reply.headers);
      readStreamEvents(reply, { isOver: () => isOver, onEvents: deliver, onEnd: endAttempt });
      return;
    }
    void readReplyBody(reply, host).then((read) => {
      if (read.type === 'broken') {
        endAttempt(read);
        return;
      }
      job.response.once('close', read.release);
      const headers = protocol.replyHeaders(reply.headers);
      const answer = { status, headers, body: read.body, isFramed: isFramed(reply) };
      endAttempt({ type: 'answered', reply: answer });
    });
  };

  /** Migrates the stream off an engine, and retries where no other engine has room for its layers. */
  const migrateFrom = (id: string, delayMs: number, tryNumber = 1): void => {
    const timer = setTimeout(() => {
      migrationTimers.delete(timer);
      if (isOver || !chain.includes(id)) return;
      void chain.repair(new Set([id]), 'engine leaving').then(() => {
        if (isOver || !chain.includes(id) || tryNumber >= MAX_MIGRATION_TRIES) return;
        migrateFrom(id, MIGRATION_RETRY_MS * 2 ** (tryNumber - 1), tryNumber + 1);
      });
    }, delayMs);
    migrationTimers.add(timer);
  };
  const move = createStreamMove(host, {
    job,
    entry: entry.id,
    prepareMove: options.prepareMove,
    onMove: options.onMove,
  });
  const watchedStream = {
    check: () => {
      const nowMs = now();
      const silentMs = nowMs - progress.lastActivityMs;
      const { isProbeDue, isMoveDue } = evaluateSilence({
        silentMs,
        hasEvents: hasOwnEvents,
        meanGapMs: progress.meanGapMs,
        targetMs: job.rule.targetMs,
        targetGapMs: job.rule.targetGapMs,
        entryEngineSilentMs: nowMs - registry.lastEventMs(entry.id),
        isEntrySuspected: move.isEntryDoubtful() || host.partition.isPartitioned(),
        isEntryUnanswered: chain.isEntryUnanswered(),
        isRunGone,
        hasBegun: progress.events > 0,
        sinceArrivalMs: nowMs - job.arrivedMs,
        sinceProbeMs: nowMs - chain.probedMs(),
        mayProbeEarly: mayProbeEarly(host, entry.id),
      });
      if (isMoveDue && exchange.isSent()) move.tryMove(silentMs);
      if (isProbeDue && !isOver) void chain.probe();
    },
    onServerSuspected: (id: string) => {
      if (id !== entry.id && chain.includes(id)) options.onEngineLost(id, chain.engines());
      if (chain.includes(id)) void chain.repair(new Set([id]), 'engine lost');
    },
    onServerLeaving: (id: string) => {
      if (id === entry.id || !chain.includes(id)) return;
      const delayMs = planStreamMigration({
        drainMs: host.drainMs,
        remainingEvents: Math.max(1, options.expectedEvents - progress.events),
        meanGapMs: progress.meanGapMs,
        random: host.random(),
      });
      if (delayMs !== undefined) migrateFrom(id, delayMs);
    },
  };
  const headers = protocol.forwardHeaders(job.headers, {
    deadlineMs: Math.max(1, Math.floor(job.expiresMs - startedMs)),
    serverId: entry.id,
    workspace: job.workspace,
    priority: job.priority,
    stages: model === undefined ? [] : stages,
    lastEventId: progress.lastEventId,
  });
  const connection = host.partition.trackConnection();
  job.markSent();
  const exchange = openExchange(
    { address: entry.address, method: job.method, path: job.path, headers, body: job.body },
    {
      onConnect: connection.succeeded,
      onReply: receiveReply,
      onFailure: ({ isSent, detail, isRefused, isOversized }) => {
        if (!isSent) connection.failed();
        if (isSent) endAttempt({ type: 'broken', detail, isOversized, isLost: !isOversized });
        else endAttempt({ type: 'unreached', detail, isRefused });
      },
    },
  );
  watch.add(watchedStream);
  job.onClose(() => {
    endAttempt({ type: 'stopped' });
  });
  return endAttempt;
}
