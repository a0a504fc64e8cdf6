/**
 * One run of a stream over a chain of engines: sends the request to the first of them, passes whole
 * events on, and repairs the chain while the stream runs.
 */

import type { IncomingMessage } from 'node:http';
import type { PipelineModel } from '../../chains/pipelineModel';
import type { Stage } from '../../chains/layerEngine';
import { createChainRepair } from './createChainRepair';
import type { GatewayHost, Job } from '../../gateway/job';
import { evaluateSilence } from '../../gateway/evaluateSilence';
import { openExchange } from './openExchange';
import { planStreamMigration } from '../../gateway/planStreamMigration';
import { readReplyBody } from './readReplyBody';
import { splitEvents } from '../../gateway/splitEvents';
import type { StreamEvent } from '../../gateway/splitEvents';
import { isNewer, recordEvent } from '../../gateway/streamProgress';
import type { StreamProgress } from '../../gateway/streamProgress';
import type { ServerReply } from './callServer';

export type AttemptEnd =
  | { readonly type: 'complete' }
  /** The engine's own final answer, a failure. */
  | { readonly type: 'answered'; readonly reply: ServerReply }
  /** The chain says that it did not run the request. */
  | { readonly type: 'not-run'; readonly fault: string | undefined; readonly detail: string }
  | { readonly type: 'unreached'; readonly detail: string }
  /** It ran in part, or may have. */
  | { readonly type: 'broken'; readonly detail: string }
  /** The caller left or its time is up. */
  | { readonly type: 'stopped' };

/** Pause before a move that failed is tried again, milliseconds, doubled each time: orders are dear. */
const MOVE_AGAIN_MS = 400;

/** Moves that are tried; a stream that finds no room until then mostly ends before there is some. */
const MAX_MOVES = 3;

export interface StreamAttemptOptions {
  readonly job: Job;
  /** Undefined for a service whose servers answer alone. */
  readonly model: PipelineModel | undefined;
  readonly stages: readonly Stage[];
  /** Tokens that the request is expected to hold at its end. */
  readonly tokens: number;
  /** Events that the whole stream is expected to have. */
  readonly expectedEvents: number;
  readonly progress: StreamProgress;
  readonly onProgress: (progress: StreamProgress) => void;
}

/** Runs the attempt to its end. */
export function runStreamAttempt(
  host: GatewayHost,
  options: StreamAttemptOptions,
): Promise<AttemptEnd> {
  return new Promise((resolve) => {
    startAttempt(host, options, resolve);
  });
}

function startAttempt(
  host: GatewayHost,
  options: StreamAttemptOptions,
  resolve: (end: AttemptEnd) => void,
): void {
  const { job, model, tokens } = options;
  const { protocol, registry: board, watch, now } = host;
  const startedMs = now();
  let progress: StreamProgress = { ...options.progress, lastActivityMs: startedMs };
  const startWait = host.firstEventDelays.trackStream(options.stages[0]?.id ?? '');
  let hasOwnEvents = false;
  const moves = new Set<NodeJS.Timeout>();
  let isOver = false;
  const [entry] = options.stages;
  if (entry === undefined) {
    resolve({ type: 'unreached', detail: 'empty chain' });
    return;
  }

  const chain = createChainRepair(host, {
    job,
    model,
    tokens,
    stages: options.stages,
    isOver: () => isOver,
    hasEvents: () => hasOwnEvents,
    silentMs: () => now() - progress.lastActivityMs,
    onBroken: (detail) => {
      settle({ type: 'broken', detail });
    },
  });
  const settle = (end: AttemptEnd): void => {
    if (isOver) return;
    isOver = true;
    watch.remove(watched);
    for (const move of moves) clearTimeout(move);
    chain.release();
    startWait.ended();
    exchange.abort();
    resolve(end);
  };
  const notePause = (gapMs: number): void => {
    host.observe('event_gap', gapMs);
    if (gapMs <= job.rule.targetGapMs) return;
    host.log('stream paused', {
      id: job.head.id,
      gapMs: Math.round(gapMs),
      events: progress.events,
      sinceRepairMs: Math.round(now() - chain.repairedMs()),
      lastCause: chain.lastCause(),
    });
  };
  const deliver = (events: readonly StreamEvent[]): void => {
    const fresh = events.filter(({ id }) => isNewer(id, progress.lastEventId));
    if (fresh.length === 0) return;
    const nowMs = now();
    for (const { id } of fresh) {
      if (progress.events === 0) host.observe('first_event', nowMs - job.arrivedMs);
      else notePause(nowMs - progress.lastActivityMs);
      progress = recordEvent(progress, id, nowMs);
    }
    if (!hasOwnEvents) startWait.started();
    hasOwnEvents = true;
    board.recordEvent(entry.id);
    options.onProgress(progress);
    job.response.write(Buffer.concat(fresh.map(({ bytes }) => bytes)));
  };
  const readEvents = (reply: IncomingMessage): void => {
    let rest: Buffer = Buffer.alloc(0);
    reply.on('data', (chunk: Buffer) => {
      if (isOver) return;
      const split = splitEvents(rest, chunk);
      ({ rest } = split);
      deliver(split.events);
    });
    reply.on('end', () => {
      if (reply.complete && rest.length === 0) settle({ type: 'complete' });
      else settle({ type: 'broken', detail: 'ended early' });
    });
    reply.on('error', (error) => {
      settle({ type: 'broken', detail: error.message });
    });
    reply.on('close', () => {
      settle({ type: 'broken', detail: 'closed' });
    });
  };
  const takeReply = (reply: IncomingMessage): void => {
    const status = reply.statusCode ?? 0;
    const head = protocol.readReply(status, reply.headers);
    if (head.isNotRun) {
      reply.destroy();
      settle({ type: 'not-run', fault: head.faultAddress, detail: `status ${status}` });
      return;
    }
    const isForeign = head.requestId !== undefined && head.requestId !== job.head.id;
    if (isForeign || !head.isSealed || !head.isUnencoded) {
      reply.destroy();
      settle({ type: 'broken', detail: 'reply without own signature' });
      return;
    }
    if (status >= 200 && status < 300) {
      if (!job.response.headersSent) {
        const headers = Object.entries(protocol.replyHeaders(reply.headers));
        const unframed = headers.filter(([name]) => name !== 'content-length');
        job.response.writeHead(status, Object.fromEntries(unframed));
        job.response.flushHeaders();
      }
      readEvents(reply);
      return;
    }
    void readReplyBody(reply).then((read) => {
      if (read.type === 'broken') settle({ type: 'broken', detail: read.detail });
      else {
        const headers = protocol.replyHeaders(reply.headers);
        settle({ type: 'answered', reply: { status, headers, body: read.body } });
      }
    });
  };

  /** Moves the stream off an engine, and tries again where no other had room for its part. */
  const moveOff = (id: string, delayMs: number, moved = 1): void => {
    const timer = setTimeout(() => {
      moves.delete(timer);
      if (isOver || !chain.includes(id)) return;
      void chain.repair(new Set([id]), 'engine leaving').then(() => {
        if (isOver || !chain.includes(id) || moved >= MAX_MOVES) return;
        moveOff(id, MOVE_AGAIN_MS * 2 ** (moved - 1), moved + 1);
      });
    }, delayMs);
    moves.add(timer);
  };
  const watched = {
    check: () => {
      const nowMs = now();
      const verdict = evaluateSilence({
        silentMs: nowMs - progress.lastActivityMs,
        hasEvents: hasOwnEvents,
        meanGapMs: progress.meanGapMs,
        targetMs: job.rule.targetMs,
        targetGapMs: job.rule.targetGapMs,
        entryEngineSilentMs: nowMs - board.lastEventMs(entry.id),
        sinceProbeMs: nowMs - chain.probedMs(),
      });
      if (verdict === 'probe') void chain.probe();
      if (verdict === 'give-up' && job.rule.isResumable)
        settle({ type: 'broken', detail: 'silent' });
    },
    onServerSuspected: (id: string) => {
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
      if (delayMs !== undefined) moveOff(id, delayMs);
    },
  };
  const headers = protocol.forwardHeaders(job.headers, {
    deadlineMs: Math.max(1, Math.floor(job.expiresMs - startedMs)),
    serverId: entry.id,
    workspace: job.workspace,
    priority: job.priority,
    stages: model === undefined ? [] : options.stages,
    lastEventId: progress.lastEventId,
  });
  job.markSent();
  const exchange = openExchange(
    { address: entry.address, method: job.method, path: job.path, headers, body: job.body },
    {
      onReply: takeReply,
      onFailure: ({ isSent, detail }) => {
        settle({ type: isSent ? 'broken' : 'unreached', detail });
      },
    },
  );
  watch.add(watched);
  job.onClose(() => {
    settle({ type: 'stopped' });
  });
}
