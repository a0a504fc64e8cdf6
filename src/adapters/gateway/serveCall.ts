/**
 * Serves a request whose answer is delivered whole. One that may not repeat is sent once; only proof
 * that nothing ran allows another server. One that may repeat is sent again, within the route's
 * attempts and the retry budget.
 */

import type { ListedServer } from '../../chains/layerEngine';
import type { CallEnd, ServerReply } from './callServer';
import { callServer } from './callServer';
import { chooseCallServer } from '../../gateway/chooseCallServer';
import type { CallHistory } from '../../gateway/createCallHistory';
import type { GatewayHost, Job } from '../../gateway/job';
import { refuseJob } from './refuseJob';

/** Targets after which a call that may repeat is tried elsewhere. */
const PATIENCE_TARGETS = 1.3;

/** When to come back after all servers were full or silent, milliseconds. */
const RETRY_AFTER_MS = 250;

/** Rest of a server that turned a call away, milliseconds: a few calls' time. */
const REST_MS = 60;

/** Serves the job to its end. */
export async function serveCall(host: GatewayHost, job: Job, history: CallHistory): Promise<void> {
  const { rule, profile } = job;
  const tried = new Set<string>();
  let fallback: ServerReply | undefined;
  let sent = 0;
  let lastEnd: CallEnd = { type: 'not-run', detail: 'no server' };
  host.budgets.noteRequest(profile.name);
  while (!job.isOver()) {
    const server = pickServer(host, job, history, tried);
    const isAllowed =
      sent < rule.maxAttempts && (sent === 0 || host.budgets.takeRetry(profile.name));
    if (server === undefined || !isAllowed) break;
    tried.add(server.id);
    const startedMs = host.now();
    const call = callServer(host, job, server);
    const isLastTry = sent + 1 >= rule.maxAttempts || !rule.isIdempotent;
    const timer = isLastTry
      ? undefined
      : setTimeout(() => {
          call.abandon('no answer in time');
        }, rule.targetMs * PATIENCE_TARGETS);
    const end = await call.end;
    clearTimeout(timer);
    const tookMs = host.now() - startedMs;
    const isFailure =
      end.type !== 'stopped' && (end.type !== 'answered' || end.reply.status >= 500);
    history.note(server.id, isFailure, tookMs);
    host.log('call tried', {
      id: job.head.id,
      server: server.id,
      end: end.type,
      detail: 'detail' in end ? end.detail : undefined,
      status: end.type === 'answered' ? end.reply.status : undefined,
      tookMs: Math.round(tookMs),
    });
    if (end.type === 'stopped') return;
    if (end.type !== 'unreached') sent += 1;
    lastEnd = end;
    if (end.type === 'unreached') host.board.suspect(server.id, end.detail);
    if (end.type === 'not-run') host.board.rest(server.id, REST_MS);
    if (end.type === 'answered') {
      fallback = end.reply;
      if (end.reply.status < 500 || !rule.isIdempotent) break;
    }
    if (end.type === 'unknown' && !rule.isIdempotent) break;
  }
  if (job.isOver()) return;
  finish(host, job, fallback, lastEnd);
}

function finish(
  host: GatewayHost,
  job: Job,
  reply: ServerReply | undefined,
  lastEnd: CallEnd,
): void {
  if (reply !== undefined) {
    job.response.writeHead(reply.status, { ...reply.headers, 'content-length': reply.body.length });
    job.response.end(reply.body);
    host.observe('call', host.now() - job.arrivedMs);
    return;
  }
  const isNotRun = lastEnd.type === 'not-run' || lastEnd.type === 'unreached';
  host.count('refusals', isNotRun ? 'not-run' : 'unknown-outcome');
  host.log('call refused', { id: job.head.id, cause: lastEnd.type });
  if (isNotRun) refuseJob(job.response, 'not-run', host.protocol, { retryAfterMs: RETRY_AFTER_MS });
  else refuseJob(job.response, 'unknown-outcome', host.protocol);
}

function pickServer(
  host: GatewayHost,
  job: Job,
  history: CallHistory,
  tried: ReadonlySet<string>,
): ListedServer | undefined {
  const candidates = host.board
    .usable(job.profile.name)
    .filter(({ id }) => !tried.has(id))
    .map((server) => ({
      ...server,
      running: host.board.running(server.id),
      ...history.of(server.id),
    }));
  const chosen = chooseCallServer(candidates, host.failureDomain, job.rule.targetMs, host.random());
  return chosen === undefined ? undefined : host.board.find(chosen.id);
}
