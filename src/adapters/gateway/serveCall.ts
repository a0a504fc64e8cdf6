/**
 * Serves a request whose answer is delivered as a whole. A request that is not idempotent is retried only
 * with proof that it has not run. An idempotent request is retried after a failure, on no more servers than
 * the route allows. If two servers fail it, the request itself is at fault and the failure is its answer.
 * Where every server is suspected, one of them is tried: suspicions may be out of date.
 */

import type { ListedServer } from '../../chains/layerEngine';
import type { CallOutcome, ServerReply } from './callServer';
import { callServer } from './callServer';
import type { CallEnd } from '../../gateway/chooseCallRefusal';
import { chooseCallRefusal } from '../../gateway/chooseCallRefusal';
import { chooseCallServer } from '../../gateway/chooseCallServer';
import type { CallHistory } from '../../gateway/createCallHistory';
import type { GatewayHost, Job } from '../../gateway/job';
import { refuseJob } from './refuseJob';

/** Multiple of the target latency after which an idempotent call is tried on another server. */
const RETRY_AFTER_TARGETS = 1.3;

/** Delay before the caller may retry after all servers were full or did not answer. */
const RETRY_AFTER_MS = 250;

/** Failed answers after which the failure is attributed to the request, not to a server. */
const CONFIRMED_FAILURES = 2;

/** Lowest HTTP status that reports a failure of the server. */
const FIRST_FAILURE_STATUS = 500;

/** Back-off of a server that refused a call: the time of a few calls. */
const REFUSAL_BACKOFF_MS = 60;

/** Maximum tries of a request; failures that persist are not those of a single server. */
const MAX_TRIES = 4;

/** Resolves when the request is answered or its caller has left. */
export async function serveCall(host: GatewayHost, job: Job, history: CallHistory): Promise<void> {
  const { rule, profile } = job;
  const servers = new Set<string>();
  const triedIds = new Set<string>();
  let mayTrySuspected = true;
  let failedBy: string | undefined;
  let fallback: ServerReply | undefined;
  let failures = 0;
  const ends: CallEnd[] = [];
  host.retryBudgets.recordRequest(profile.name);
  for (let tries = 0; tries < MAX_TRIES && !job.isOver(); tries += 1) {
    const choice = chooseServer(host, job, history, {
      only: servers.size < rule.maxAttempts ? undefined : servers,
      failedBy,
      triedIds,
      mayTrySuspected,
    });
    if (choice === undefined) break;
    const { server, isSuspected } = choice;
    if (servers.size > 0 && !host.retryBudgets.trySpendRetry(profile.name)) break;
    triedIds.add(server.id);
    if (isSuspected) mayTrySuspected = false;
    const outcome = await tryServer(host, job, history, choice, tries);
    if (outcome.type === 'stopped') return;
    ends.push(outcome.type);
    failedBy = server.id;
    if (outcome.type === 'unreached') {
      host.registry.suspect(server.id, 'unreached', outcome.detail);
      continue;
    }
    servers.add(server.id);
    if (outcome.type === 'not-run') {
      host.registry.backOff(server.id, REFUSAL_BACKOFF_MS);
      continue;
    }
    if (outcome.type === 'answered') {
      host.registry.clearSuspicion(server.id);
      fallback = outcome.reply;
      failures += 1;
      if (outcome.reply.status < FIRST_FAILURE_STATUS || failures >= CONFIRMED_FAILURES) break;
    }
    if (!rule.isIdempotent) break;
  }
  if (!job.isOver()) sendFinalResponse(host, job, fallback, ends);
}

async function tryServer(
  host: GatewayHost,
  job: Job,
  history: CallHistory,
  { server, isSuspected }: ChosenServer,
  runs: number,
): Promise<CallOutcome> {
  const startedMs = host.now();
  const call = callServer(host, job, server);
  const isLast = isSuspected || runs + 1 >= job.rule.maxAttempts || !job.rule.isIdempotent;
  const timer = isLast
    ? undefined
    : setTimeout(() => {
        call.abandon('no answer in time');
      }, job.rule.targetMs * RETRY_AFTER_TARGETS);
  const outcome = await call.end;
  clearTimeout(timer);
  const tookMs = host.now() - startedMs;
  const isFailure =
    outcome.type !== 'stopped' &&
    (outcome.type !== 'answered' || outcome.reply.status >= FIRST_FAILURE_STATUS);
  history.recordCall(server.id, isFailure, tookMs);
  host.log('call tried', {
    id: job.head.id,
    server: server.id,
    isSuspected,
    end: outcome.type,
    detail: 'detail' in outcome ? outcome.detail : undefined,
    status: outcome.type === 'answered' ? outcome.reply.status : undefined,
    tookMs: Math.round(tookMs),
  });
  return outcome;
}

function sendFinalResponse(
  host: GatewayHost,
  job: Job,
  reply: ServerReply | undefined,
  ends: readonly CallEnd[],
): void {
  if (reply !== undefined) {
    job.response.writeHead(reply.status, { ...reply.headers, 'content-length': reply.body.length });
    job.response.end(reply.body);
    host.observe('call', host.now() - job.arrivedMs);
    return;
  }
  const refusal = chooseCallRefusal(ends);
  const retryAfterMs = refusal === 'not-run' ? RETRY_AFTER_MS : undefined;
  host.count('refusals', refusal);
  host.log('call refused', { id: job.head.id, refusal, cause: ends.at(-1) ?? 'not-run' });
  refuseJob(job.response, refusal, host.protocol, { retryAfterMs });
}

interface ServerChoice {
  /** Servers that the request may be sent to; undefined allows all. */
  readonly only: ReadonlySet<string> | undefined;
  /** The server that failed the request last; other servers are preferred. */
  readonly failedBy: string | undefined;
  /** Servers that the request was sent to, or would have been had they been reached. */
  readonly triedIds: ReadonlySet<string>;
  /** Whether a suspected server may be tried where there is no other. */
  readonly mayTrySuspected: boolean;
}

interface ChosenServer {
  readonly server: ListedServer;
  readonly isSuspected: boolean;
}

function chooseServer(
  host: GatewayHost,
  job: Job,
  history: CallHistory,
  { only, failedBy, triedIds, mayTrySuspected }: ServerChoice,
): ChosenServer | undefined {
  const { registry } = host;
  const { name } = job.profile;
  const suspected = mayTrySuspected
    ? registry.lastResortServers(name).filter(({ id }) => !triedIds.has(id))
    : [];
  const isSuspected = suspected.length > 0;
  const allowed = (isSuspected ? suspected : registry.usableServers(name))
    .filter(({ id }) => only?.has(id) ?? true)
    .map((server) => ({
      ...server,
      running: registry.running(server.id),
      ...history.statisticsOf(server.id),
    }));
  const others = allowed.filter(({ id }) => id !== failedBy);
  const candidates = others.length > 0 ? others : allowed;
  const chosen = chooseCallServer(candidates, host.failureDomain, job.rule.targetMs, host.random());
  const server = registry.find(chosen?.id ?? '');
  return server === undefined ? undefined : { server, isSuspected };
}
