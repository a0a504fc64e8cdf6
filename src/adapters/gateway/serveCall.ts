/**
 * Serves a request whose answer is delivered whole. One that may not repeat is sent again only on
 * proof that it has not run. One that may repeat is sent again after a failure, to no more servers
 * than the route allows; a failure that a second server repeats is of the request, and is its answer.
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

/** Failed answers of different servers that show the failure to be of the request. */
const CONFIRMED_FAILURES = 2;

/** First status that says that the server failed. */
const FIRST_FAILURE_STATUS = 500;

/** Rest of a server that turned a call away, milliseconds: a few calls' time. */
const REST_MS = 60;

/** Times that one request is sent at most; failures that go on are not of one server. */
const MAX_RUNS = 4;

/** Serves the job to its end. */
export async function serveCall(host: GatewayHost, job: Job, history: CallHistory): Promise<void> {
  const { rule, profile } = job;
  const servers = new Set<string>();
  let failedBy: string | undefined;
  let fallback: ServerReply | undefined;
  let failures = 0;
  let lastEnd: CallEnd = { type: 'not-run', detail: 'no server' };
  host.retryBudgets.recordRequest(profile.name);
  for (let runs = 0; runs < MAX_RUNS && !job.isOver(); runs += 1) {
    const server = pickServer(host, job, history, {
      only: servers.size < rule.maxAttempts ? undefined : servers,
      failedBy,
    });
    if (server === undefined) break;
    if (servers.size > 0 && !host.retryBudgets.trySpendRetry(profile.name)) break;
    const end = await runOnce(host, job, history, server, runs);
    if (end.type === 'stopped') return;
    lastEnd = end;
    failedBy = server.id;
    if (end.type === 'unreached') {
      host.registry.suspect(server.id, end.detail);
      continue;
    }
    servers.add(server.id);
    if (end.type === 'not-run') {
      host.registry.backOff(server.id, REST_MS);
      continue;
    }
    if (end.type === 'answered') {
      fallback = end.reply;
      failures += 1;
      if (end.reply.status < FIRST_FAILURE_STATUS || failures >= CONFIRMED_FAILURES) break;
    }
    if (!rule.isIdempotent) break;
  }
  if (!job.isOver()) finish(host, job, fallback, lastEnd);
}

async function runOnce(
  host: GatewayHost,
  job: Job,
  history: CallHistory,
  server: ListedServer,
  runs: number,
): Promise<CallEnd> {
  const startedMs = host.now();
  const call = callServer(host, job, server);
  const isLast = runs + 1 >= job.rule.maxAttempts || !job.rule.isIdempotent;
  const timer = isLast
    ? undefined
    : setTimeout(() => {
        call.abandon('no answer in time');
      }, job.rule.targetMs * PATIENCE_TARGETS);
  const end = await call.end;
  clearTimeout(timer);
  const tookMs = host.now() - startedMs;
  const isFailure =
    end.type !== 'stopped' && (end.type !== 'answered' || end.reply.status >= FIRST_FAILURE_STATUS);
  history.recordCall(server.id, isFailure, tookMs);
  host.log('call tried', {
    id: job.head.id,
    server: server.id,
    end: end.type,
    detail: 'detail' in end ? end.detail : undefined,
    status: end.type === 'answered' ? end.reply.status : undefined,
    tookMs: Math.round(tookMs),
  });
  return end;
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

interface ServerChoice {
  /** Servers that the request may still be sent to; undefined allows all. */
  readonly only: ReadonlySet<string> | undefined;
  /** The server that failed it last; another is better. */
  readonly failedBy: string | undefined;
}

function pickServer(
  host: GatewayHost,
  job: Job,
  history: CallHistory,
  { only, failedBy }: ServerChoice,
): ListedServer | undefined {
  const allowed = host.registry
    .usableServers(job.profile.name)
    .filter(({ id }) => only?.has(id) ?? true)
    .map((server) => ({
      ...server,
      running: host.registry.running(server.id),
      ...history.statisticsOf(server.id),
    }));
  const others = allowed.filter(({ id }) => id !== failedBy);
  const candidates = others.length > 0 ? others : allowed;
  const chosen = chooseCallServer(candidates, host.failureDomain, job.rule.targetMs, host.random());
  return chosen === undefined ? undefined : host.registry.find(chosen.id);
}
