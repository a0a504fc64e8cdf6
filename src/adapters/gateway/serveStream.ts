/**
 * Serves a stream in one or more attempts. Each attempt continues after the last event that the caller has,
 * so the caller sees one stream with every event exactly once.
 */

import type { AdmissionQueue } from './createAdmissionQueue';
import type { GatewayHost, Job } from '../../gateway/job';
import type { PeerRecord } from '../../peers/peer';
import type { AttemptOutcome } from './attemptOutcome';
import { createStreamAttempts } from './createStreamAttempts';
import { estimateStreamSize } from './estimateStreamSize';
import { findForwardingPeer } from './findForwardingPeer';
import { finishStream } from './finishStream';
import type { StreamLimit } from './finishStream';
import { forwardStream } from './forwardStream';
import { waitForStreamChain } from './waitForStreamChain';

/** Resolves when the stream has ended or its caller has left. */
export async function serveStream(
  host: GatewayHost,
  job: Job,
  queue: AdmissionQueue,
): Promise<void> {
  const { rule, profile } = job;
  const { tokens } = estimateStreamSize(job);
  /** VMs that the stream was forwarded to. */
  const triedPeers = new Set<string>();
  const findPeer = (): PeerRecord | undefined => findForwardingPeer(host, job, triedPeers);
  const attempts = createStreamAttempts(host, job, () => findPeer() !== undefined);
  const { runServers } = attempts;
  let isCounted = job.forwarded?.isCounted === true;
  let lastOutcome: AttemptOutcome | undefined;
  let limit: StreamLimit | undefined;
  while (!job.isOver()) {
    let running = attempts.takeSuccessor();
    if (running === undefined) {
      if (!attempts.mayStart()) break;
      const isTried = attempts.sent() > 0 && host.contentSuspicions.isSuspect(job.contents);
      if (isTried || host.contentSuspicions.heldMs(job.contents) > 0) {
        limit = 'held back';
        break;
      }
      const peer = findPeer();
      if (peer !== undefined) {
        triedPeers.add(peer.vm);
        const outcome = await forwardStream(host, {
          job,
          peer,
          servers: [...runServers],
          isCounted,
          progress: attempts.progress(),
          onProgress: attempts.onProgress,
        });
        isCounted = true;
        if (outcome.type === 'stopped') return;
        lastOutcome = outcome;
        if (outcome.type === 'complete') {
          job.response.end();
          return;
        }
        if (outcome.type === 'answered') break;
        if (outcome.type !== 'broken') continue;
        attempts.settleForwarded(peer.vm);
        if (!rule.isResumable) break;
        continue;
      }
      if (!isCounted) host.retryBudgets.recordRequest(profile.name);
      isCounted = true;
      const entries = runServers.size < rule.maxAttempts ? undefined : runServers;
      const hasBegun = attempts.progress().events > 0;
      const chain = await waitForStreamChain(host, job, queue, { tokens, hasBegun, entries });
      if (chain === undefined) {
        limit = entries === undefined ? 'no chain' : 'attempts of the route';
        break;
      }
      if (attempts.sent() > 0 && !attempts.trySpendRetry()) {
        chain.reservation.cancel();
        limit = 'retry budget';
        break;
      }
      running = attempts.start(chain);
    }
    const outcome = await running.outcome;
    await attempts.settle(running, outcome);
    if (outcome.type === 'stopped') return;
    lastOutcome = outcome;
    if (outcome.type === 'complete') {
      const ranMs = running.isFromStart ? undefined : running.detector.ranMs();
      if (outcome.isFramed) host.contentSuspicions.recordHarmlessRun(job.contents, ranMs);
      job.response.end();
      return;
    }
    if (outcome.type === 'answered') {
      attempts.takeSuccessor()?.end({ type: 'overtaken' });
      break;
    }
    if (outcome.type === 'broken' && !rule.isResumable) break;
  }
  if (job.isOver()) return;
  const { events } = attempts.progress();
  finishStream(host, job, lastOutcome, { limit, events, runs: runServers.size });
}
