/**
 * Decides at once whether a request is taken in: by the limits and the fair share of its workspace, by
 * its priority, and by whether its first token can come in time. Nothing queues in the router, so a
 * refusal is never held back.
 */

import type { NotRun } from '../outcomes/outcome';
import type { WorkspaceId } from '../workspaces/workspace';
import type { Admission, Bucket, ModelLoad, WorkspaceLoad } from './admission';
import {
  BUCKET_MS,
  FILL_OF_PRIORITY,
  RETRY_AFTER_MS,
  RETRY_JITTER_MS,
  SHARE_ROOM,
} from './constants';
import { createWorkspaceLoad } from './createWorkspaceLoad';
import { enterModel } from './enterModel';
import { modelLoadOf } from './modelLoadOf';
import { ownPart } from './ownPart';
import type { Request } from './request';
import type { Router } from './router';
import type { RunningRequest } from './runningRequest';
import { MS_PER_SECOND } from '../units';

export type AdmissionDecision =
  | { readonly type: 'admitted'; readonly admission: Admission }
  | { readonly type: 'refused'; readonly refusal: NotRun };

/**
 * @param router the router
 * @param asked the request and its model
 * @param at when, and randomness for the time to come back
 */
export function admitRequest(
  router: Router,
  asked: Pick<RunningRequest, 'request' | 'model'>,
  at: { readonly atMs: number; readonly seed: number },
): AdmissionDecision {
  const { admission } = router;
  const { request, model } = asked;
  const modelLoad = modelLoadOf(router, model);
  const load = admission.workspaces.get(request.workspace) ?? createWorkspaceLoad(at.atMs);
  const bucket = fillBucket(router, request.workspace, load, at.atMs);
  const reason =
    findLimit(router, request, load, bucket) ??
    findDeadline(modelLoad, request, at.atMs) ??
    findShortage(router, request, modelLoad);
  if (reason !== undefined) {
    const retryAfterMs = RETRY_AFTER_MS + (at.seed % RETRY_JITTER_MS);
    const detail = `Refused by ${reason}; nothing ran`;
    return { type: 'refused', refusal: { outcome: 'not-run', reason, detail, retryAfterMs } };
  }
  const taken: WorkspaceLoad = {
    ...load,
    running: load.running + 1,
    requests: load.requests + 1,
    tokens: load.tokens + request.maxTokens,
    seenAtMs: at.atMs,
    bucket: {
      ...bucket,
      requests: bucket.requests - 1,
      tokens: bucket.tokens - request.maxTokens,
    },
  };
  const workspaces = admission.workspaces.set(request.workspace, taken);
  const entered = enterModel(modelLoad, request.workspace, shareOf(router, request.workspace));
  const models = admission.models.set(model, entered);
  return { type: 'admitted', admission: { ...admission, workspaces, models } };
}

/** Refills the credit of a workspace at this VM's part of the limits. */
function fillBucket(
  router: Router,
  workspace: WorkspaceId,
  load: WorkspaceLoad,
  atMs: number,
): Bucket {
  const limits = router.configuration.workspace.get(workspace)?.limits;
  if (limits === undefined) return load.bucket;
  const vms = router.acceptingVms;
  const requestRate = ownPart(limits.requestsPerSecond, {
    own: load.requestsPerSecond,
    others: load.othersRequestsPerSecond,
    vms,
  });
  const tokenRate = ownPart(limits.tokensPerSecond, {
    own: load.tokensPerSecond,
    others: load.othersTokensPerSecond,
    vms,
  });
  const seconds = (atMs - load.bucket.filledAtMs) / MS_PER_SECOND;
  const burst = BUCKET_MS / MS_PER_SECOND;
  return {
    requests: Math.min(
      Math.max(1, requestRate * burst),
      load.bucket.requests + requestRate * seconds,
    ),
    tokens: Math.min(tokenRate * burst, load.bucket.tokens + tokenRate * seconds),
    filledAtMs: atMs,
  };
}

function findLimit(
  router: Router,
  { workspace }: Request,
  load: WorkspaceLoad,
  bucket: Bucket,
): string | undefined {
  const limits = router.configuration.workspace.get(workspace)?.limits;
  if (limits === undefined) return 'unknown-workspace';
  const running = ownPart(limits.concurrentRequests, {
    own: load.runningAtDigest,
    others: load.othersRunning,
    vms: router.acceptingVms,
  });
  if (load.running >= Math.max(1, Math.floor(running))) return 'concurrent-requests';
  if (bucket.requests < 1) return 'requests-per-second';
  return bucket.tokens <= 0 ? 'tokens-per-second' : undefined;
}

function findDeadline(
  { firstTokenMs }: ModelLoad,
  { deadlineAtMs }: Request,
  atMs: number,
): string | undefined {
  return atMs + firstTokenMs > deadlineAtMs ? 'deadline' : undefined;
}

/**
 * A workspace under its share may go a little beyond the limit of this VM; one over its share has to
 * leave some room below it. So the small ones get in at once, whatever a large one sends.
 */
function findShortage(
  router: Router,
  { workspace, priority }: Request,
  load: ModelLoad,
): string | undefined {
  const room = isUnderShare(router, workspace, load) ? 1 + SHARE_ROOM : 1 - SHARE_ROOM;
  return load.running >= load.limit * room * FILL_OF_PRIORITY[priority] ? 'overloaded' : undefined;
}

function isUnderShare(
  router: Router,
  workspace: WorkspaceId,
  { limit, shares, runningOf }: ModelLoad,
): boolean {
  const share = shareOf(router, workspace);
  const running = runningOf.get(workspace, 0);
  const all = running === 0 ? shares + share : shares;
  return running < (limit * share) / all;
}

function shareOf({ configuration }: Router, workspace: WorkspaceId): number {
  return configuration.workspace.get(workspace)?.share ?? 0;
}
