/**
 * One run of a stream over a chain of engines: sends the request to the first of them, passes whole
 * events on, and repairs the chain while the stream runs.
 */

import type { IncomingMessage } from 'node:http';
import type { PipelineModel } from '../../chains/pipelineModel';
import { crossingCost } from '../../chains/crossingCost';
import { replaceStages } from '../../chains/replaceStages';
import type { Stage } from '../../chains/layerEngine';
import type { GatewayHost, Job } from '../../gateway/job';
import { judgeSilence } from '../../gateway/judgeSilence';
import { openExchange } from './openExchange';
import { planDeparture } from '../../gateway/planDeparture';
import { readReplyBody } from './readReplyBody';
import { splitEvents } from '../../gateway/splitEvents';
import type { StreamEvent } from '../../gateway/splitEvents';
import { isNewer, noteEvent } from '../../gateway/streamProgress';
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
  const { protocol, board, watch, now } = host;
  const startedMs = now();
  let { stages } = options;
  let progress: StreamProgress = { ...options.progress, activeMs: startedMs };
  let reservation = board.reserve(stages, tokens);
  let hasOwnEvents = false;
  let probedMs = Number.NEGATIVE_INFINITY;
  let isRepairing = false;
  const moves: NodeJS.Timeout[] = [];
  let isOver = false;
  const hasEnded = (): boolean => isOver;
  const [entry] = stages;
  if (entry === undefined) {
    resolve({ type: 'unreached', detail: 'empty chain' });
    return;
  }

  const settle = (end: AttemptEnd): void => {
    if (isOver) return;
    isOver = true;
    watch.remove(watched);
    for (const move of moves) clearTimeout(move);
    reservation.release();
    exchange.abort();
    resolve(end);
  };
  const deliver = (events: readonly StreamEvent[]): void => {
    const fresh = events.filter(({ id }) => isNewer(id, progress.lastEventId));
    if (fresh.length === 0) return;
    const nowMs = now();
    for (const { id } of fresh) {
      if (progress.events === 0) host.observe('first_event', nowMs - job.arrivedMs);
      else host.observe('event_gap', nowMs - progress.activeMs);
      progress = noteEvent(progress, id, nowMs);
    }
    hasOwnEvents = true;
    board.noteEvent(entry.id);
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
    const head = protocol.readReply(reply.headers);
    const status = reply.statusCode ?? 0;
    if (head.isNotRun || status === 421) {
      reply.destroy();
      settle({ type: 'not-run', fault: head.faultAddress, detail: `status ${status}` });
      return;
    }
    const isForeign = head.requestId !== undefined && head.requestId !== job.head.id;
    if (isForeign || !head.isSealed || !head.isPlain) {
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

  /** Replaces lost engines of the chain; breaks the attempt off where the first is lost. */
  const repair = async (lost: ReadonlySet<string>, cause: string): Promise<void> => {
    if (hasEnded() || isRepairing || model === undefined) return;
    if (lost.has(entry.id)) {
      settle({ type: 'broken', detail: cause });
      return;
    }
    const path = replaceStages({
      stages,
      lost,
      engines: board.chainEngines(job.profile.name, model),
      tokens,
      fromDomain: host.failureDomain,
      domainDelayMs: model.domainDelayMs,
      crossingMs: crossingCost(model, board.crossingShare(model)),
      excluded: new Set(),
      domains: new Map(
        stages.map(({ id }) => [id, board.find(id)?.failureDomain ?? host.failureDomain]),
      ),
    });
    host.log('chain repair', {
      id: job.head.id,
      lost: [...lost].join(' '),
      cause,
      found: path !== undefined,
      silentMs: Math.round(now() - progress.activeMs),
    });
    if (path === undefined) return;
    isRepairing = true;
    const result = await protocol.changePath(entry.address, job.head.id, path);
    isRepairing = false;
    if (hasEnded()) return;
    host.count('chain_repairs', result.type);
    if (result.type === 'accepted') {
      reservation.release();
      stages = path;
      reservation = board.reserve(stages, tokens);
      return;
    }
    host.log('chain repair failed', {
      id: job.head.id,
      status: result.type === 'rejected' ? result.status : undefined,
      address: result.type === 'rejected' ? result.address : undefined,
    });
    const blamed =
      result.type === 'rejected' ? board.findByAddress(result.address ?? '') : undefined;
    if (blamed !== undefined) board.rest(blamed.id, REPAIR_REST_MS);
    else if (result.type === 'rejected' && result.status === 404 && hasOwnEvents) {
      settle({ type: 'broken', detail: 'run is gone' });
    }
  };
  const lostStages = (): ReadonlySet<string> => {
    const suspected = new Set(board.suspicions().map(({ id }) => id));
    return new Set(stages.map(({ id }) => id).filter((id) => suspected.has(id)));
  };
  const probe = async (): Promise<void> => {
    probedMs = now();
    const reports = await Promise.all(stages.map(({ id }) => host.probes.ask(id)));
    if (isOver) return;
    const [first] = reports;
    const stalledAt =
      first?.type === 'report'
        ? first.report.stalled.filter(({ requestId }) => requestId === job.head.id)
        : [];
    const blamed = stages
      .filter(({ address }) => stalledAt.some((work) => work.address === address))
      .map(({ id }) => id);
    const lost = new Set([...lostStages(), ...blamed]);
    if (lost.size > 0) await repair(lost, 'silent');
  };
  const watched = {
    check: () => {
      const nowMs = now();
      const verdict = judgeSilence({
        silentMs: nowMs - progress.activeMs,
        hasEvents: hasOwnEvents,
        meanGapMs: progress.meanGapMs,
        targetMs: job.rule.targetMs,
        targetGapMs: job.rule.targetGapMs,
        othersSilentMs: nowMs - board.lastEventMs(entry.id),
        sinceProbeMs: nowMs - probedMs,
      });
      if (verdict === 'probe') void probe();
      if (verdict === 'give-up' && job.rule.isResumable)
        settle({ type: 'broken', detail: 'silent' });
    },
    onServerLost: (id: string) => {
      if (stages.some((stage) => stage.id === id)) void repair(new Set([id]), 'engine lost');
    },
    onServerLeaving: (id: string) => {
      if (id === entry.id || !stages.some((stage) => stage.id === id)) return;
      const delayMs = planDeparture({
        drainMs: host.drainMs,
        eventsLeft: Math.max(1, options.expectedEvents - progress.events),
        meanGapMs: progress.meanGapMs,
        draw: host.random(),
      });
      if (delayMs === undefined) return;
      moves.push(
        setTimeout(() => {
          if (stages.some((stage) => stage.id === id)) void repair(new Set([id]), 'engine leaving');
        }, delayMs),
      );
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
  job.onGone(() => {
    settle({ type: 'stopped' });
  });
}

/** Rest of an engine that had no room for a repair, milliseconds. */
const REPAIR_REST_MS = 200;
