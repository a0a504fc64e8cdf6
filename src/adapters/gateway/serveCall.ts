/**
 * Serves a request whose answer is delivered as a whole. A request that is not idempotent is retried only
 * with proof that it has not run. An idempotent request is retried after a failure, on no more servers than
 * the route allows. If two servers fail it, the request itself is at fault and the failure is its answer.
 * Where every server is suspected, one of them is tried: suspicions may be out of date. A silent server may
 * go on, so an idempotent request is taken from it only once another server and a retry are at hand.
 */

import type { ServerReply } from './callServer';
import type { PeerRecord } from '../../peers/peer';
import { SILENT_LOSS_VALID_MS } from '../../gateway/contentSuspicions';
import type { CallEnd } from '../../gateway/chooseCallRefusal';
import { chooseCallRefusal } from '../../gateway/chooseCallRefusal';
import { computeServiceQuietTime } from '../../gateway/computeServiceQuietTime';
import { computeServiceWaitTime } from '../../gateway/computeServiceWaitTime';
import type { CallHistory } from '../../gateway/createCallHistory';
import { isServerFailure } from '../../gateway/isServerFailure';
import type { GatewayHost, Job } from '../../gateway/job';
import { mayMoveCall } from '../../gateway/mayMoveCall';
import type { ChosenServer } from './findCallServer';
import { findForwardingPeer } from './findForwardingPeer';
import { forwardCall } from './forwardCall';
import { findCallServer } from './findCallServer';
import { refuseJob } from './refuseJob';
import { tryCallServer } from './tryCallServer';

/** Delay before the caller may retry after all servers were full or did not answer. */
const RETRY_AFTER_MS = 250;

/** Failed answers after which the failure is attributed to the request, not to a server. */
const CONFIRMED_FAILURES = 2;

/** Back-off of a server that refused a call: the time of a few calls. */
const REFUSAL_BACKOFF_MS = 60;

/** Maximum tries of a request; failures that persist are not those of a single server. */
const MAX_TRIES = 4;

/** Resolves when the request is answered or its caller has left. */
export async function serveCall(host: GatewayHost, job: Job, history: CallHistory): Promise<void> {
  const { rule, profile } = job;
  const servers = new Set(job.forwarded?.servers);
  const triedIds = new Set<string>();
  let mayTrySuspected = true;
  let failedBy: string | undefined;
  let fallback: ServerReply | undefined;
  let failures = 0;
  const ends: CallEnd[] = [...servers].map(() => 'unknown');
  /** VMs that the call was forwarded to. */
  const triedPeers = new Set<string>();
  const findPeer = (): PeerRecord | undefined => findForwardingPeer(host, job, triedPeers);
  let isCounted = job.forwarded?.isCounted === true;
  let next: ChosenServer | undefined;
  /** Whether a retry was spent and no server has received the request since. */
  let hasRetry = false;
  for (let tries = 0; tries < MAX_TRIES && !job.isOver(); tries += 1) {
    const peer = findPeer();
    if (peer !== undefined) {
      triedPeers.add(peer.vm);
      const outcome = await forwardCall(host, { job, peer, servers: [...servers], isCounted });
      isCounted = true;
      if (outcome.type === 'stopped') return;
      if (outcome.type === 'answered') {
        fallback = outcome.reply;
        break;
      }
      ends.push(outcome.type);
      if (outcome.type !== 'unknown') continue;
      // At least one server may have run it there.
      servers.add(`vm ${peer.vm}`);
      if (!rule.isIdempotent) break;
      continue;
    }
    if (!isCounted) host.retryBudgets.recordRequest(profile.name);
    isCounted = true;
    const choice: ChosenServer | undefined =
      next ??
      findCallServer(host, job, history, {
        only: servers.size < rule.maxAttempts ? undefined : servers,
        failedBy,
        triedIds,
        mayTrySuspected,
      });
    if (choice === undefined) break;
    const { server, isSuspected } = choice;
    if (servers.size > 0) hasRetry ||= host.retryBudgets.trySpendRetry(profile.name);
    if (servers.size > 0 && !hasRetry) break;
    triedIds.add(server.id);
    if (isSuspected) mayTrySuspected = false;
    const sentTo = new Set([...servers, server.id]);
    const mayMove = mayMoveCall({
      isIdempotent: rule.isIdempotent,
      maxAttempts: rule.maxAttempts,
      servers: sentTo,
      remainingTries: MAX_TRIES - tries - 1,
      isSuspected,
    });
    const takeNext = (): ChosenServer | undefined => takeNextServer(host, job, history, sentTo);
    const { outcome, movedTo } = await tryCallServer(host, job, history, choice, {
      takeNext: mayMove ? takeNext : undefined,
      isPeerAtHand: () => findPeer() !== undefined,
    });
    const isUnanswered = outcome.type === 'unknown' && !outcome.isLost;
    if (outcome.type === 'stopped' || isUnanswered) {
      const loss = { validMs: SILENT_LOSS_VALID_MS };
      host.contentSuspicions.recordLoss(server, job.contents, loss);
    }
    next = movedTo;
    hasRetry = movedTo !== undefined || (hasRetry && outcome.type === 'unreached');
    if (outcome.type === 'stopped') return;
    ends.push(outcome.type);
    failedBy = server.id;
    if (outcome.type === 'unreached') {
      const reason = outcome.isRefused ? 'refused' : 'unreached';
      host.registry.suspect(server.id, reason, outcome.detail);
      await host.partition.verify();
      continue;
    }
    servers.add(server.id);
    if (outcome.type === 'not-run') {
      host.registry.backOff(server.id, REFUSAL_BACKOFF_MS);
      continue;
    }
    if (outcome.type === 'answered') {
      host.registry.clearSuspicion(server.id);
      if (outcome.reply.isFramed) host.contentSuspicions.recordHarmlessRun(job.contents);
      fallback = outcome.reply;
      failures += 1;
      if (!isServerFailure(outcome.reply.status) || failures >= CONFIRMED_FAILURES) break;
    }
    if (outcome.type === 'unknown' && outcome.isLost) {
      host.contentSuspicions.recordLoss(server, job.contents);
      void host.probes.check(server.id, 'lost_run');
    }
    if (!rule.isIdempotent || host.contentSuspicions.isSuspect(job.contents)) break;
  }
  if (!job.isOver()) sendFinalResponse(host, job, fallback, ends);
}

/** Finds a server that has not received the request, and spends the retry that sending it there costs. */
function takeNextServer(
  host: GatewayHost,
  job: Job,
  history: CallHistory,
  sentTo: ReadonlySet<string>,
): ChosenServer | undefined {
  const found = findCallServer(host, job, history, { except: sentTo });
  if (found === undefined) return undefined;
  return host.retryBudgets.trySpendRetry(job.profile.name) ? found : undefined;
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
  const quietMs = computeServiceQuietTime(host.registry, job.profile.name);
  const retryAfterMs = refusal === 'not-run' ? Math.max(RETRY_AFTER_MS, quietMs) : undefined;
  host.count('refusals', refusal);
  host.log('call refused', {
    id: job.head.id,
    refusal,
    cause: ends.at(-1) ?? 'not-run',
    isAtLimit: computeServiceWaitTime(host.registry, job.profile.name) > quietMs,
  });
  refuseJob(job.response, refusal, host.protocol, { retryAfterMs });
}
