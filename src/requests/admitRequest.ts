/**
 * Decides immediately whether to admit a request, by the limits and the fair share of its workspace,
 * its priority, and whether its first token can meet the deadline. The router has no queue, so a
 * refusal is never delayed.
 */

import type { NotRun } from '../outcomes/outcome';
import type { WorkspaceId } from '../workspaces/workspace';
import type { Admission, RateBucket, ModelLoad, WorkspaceLoad } from './admission';
import {
  BUCKET_CAPACITY_MS,
  PRIORITY_LIMIT_RATIO,
  RETRY_AFTER_MS,
  RETRY_JITTER_MS,
  FAIR_SHARE_MARGIN,
} from './constants';
import { createWorkspaceLoad } from './createWorkspaceLoad';
import { addModelRequest } from './addModelRequest';
import { getModelLoad } from './getModelLoad';
import { computeLocalLimit } from './computeLocalLimit';
import type { Request } from './request';
import type { Router } from './router';
import type { RunningRequest } from './runningRequest';
import { MS_PER_SECOND } from '../units';

export type AdmissionDecision =
  | { readonly type: 'admitted'; readonly admission: Admission }
  | { readonly type: 'refused'; readonly refusal: NotRun };

/**
 * @param router the router
 * @param candidate the request and its model
 * @param at the current time, and a seed for the jitter of the retry delay
 */
export function admitRequest(
  router: Router,
  candidate: Pick<RunningRequest, 'request' | 'model'>,
  at: { readonly atMs: number; readonly seed: number },
): AdmissionDecision {
  const { admission } = router;
  const { request, model } = candidate;
  const modelLoad = getModelLoad(router, model);
  const load = admission.workspaces.get(request.workspace) ?? createWorkspaceLoad(at.atMs);
  const bucket = refillBucket(router, request.workspace, load, at.atMs);
  const reason =
    findLimitRefusal(router, request, load, bucket) ??
    findDeadlineRefusal(modelLoad, request, at.atMs) ??
    findCapacityRefusal(router, request, modelLoad);
  if (reason !== undefined) {
    const retryAfterMs = RETRY_AFTER_MS + (at.seed % RETRY_JITTER_MS);
    const detail = `Refused by ${reason}; nothing ran`;
    return { type: 'refused', refusal: { outcome: 'not-run', reason, detail, retryAfterMs } };
  }
  const admittedLoad: WorkspaceLoad = {
    ...load,
    running: load.running + 1,
    requests: load.requests + 1,
    tokens: load.tokens + request.maxTokens,
    lastActiveAtMs: at.atMs,
    bucket: {
      ...bucket,
      requests: bucket.requests - 1,
      tokens: bucket.tokens - request.maxTokens,
    },
  };
  const workspaces = admission.workspaces.set(request.workspace, admittedLoad);
  const updatedModelLoad = addModelRequest(
    modelLoad,
    request.workspace,
    getShare(router, request.workspace),
  );
  const models = admission.models.set(model, updatedModelLoad);
  return { type: 'admitted', admission: { ...admission, workspaces, models } };
}

/** Refills the rate credit of a workspace at this VM's part of the limits. */
function refillBucket(
  router: Router,
  workspace: WorkspaceId,
  load: WorkspaceLoad,
  atMs: number,
): RateBucket {
  const limits = router.configuration.workspace.get(workspace)?.limits;
  if (limits === undefined) return load.bucket;
  const vms = router.acceptingVms;
  const requestRate = computeLocalLimit(limits.requestsPerSecond, {
    own: load.requestsPerSecond,
    others: load.othersRequestsPerSecond,
    vms,
  });
  const tokenRate = computeLocalLimit(limits.tokensPerSecond, {
    own: load.tokensPerSecond,
    others: load.othersTokensPerSecond,
    vms,
  });
  const seconds = (atMs - load.bucket.refilledAtMs) / MS_PER_SECOND;
  const burst = BUCKET_CAPACITY_MS / MS_PER_SECOND;
  return {
    requests: Math.min(
      Math.max(1, requestRate * burst),
      load.bucket.requests + requestRate * seconds,
    ),
    tokens: Math.min(tokenRate * burst, load.bucket.tokens + tokenRate * seconds),
    refilledAtMs: atMs,
  };
}

function findLimitRefusal(
  router: Router,
  { workspace }: Request,
  load: WorkspaceLoad,
  bucket: RateBucket,
): string | undefined {
  const limits = router.configuration.workspace.get(workspace)?.limits;
  if (limits === undefined) return 'unknown-workspace';
  const running = computeLocalLimit(limits.concurrentRequests, {
    own: load.runningAtDigest,
    others: load.othersRunning,
    vms: router.acceptingVms,
  });
  if (load.running >= Math.max(1, Math.floor(running))) return 'concurrent-requests';
  if (bucket.requests < 1) return 'requests-per-second';
  return bucket.tokens <= 0 ? 'tokens-per-second' : undefined;
}

function findDeadlineRefusal(
  { firstTokenMs }: ModelLoad,
  { deadlineAtMs }: Request,
  atMs: number,
): string | undefined {
  return atMs + firstTokenMs > deadlineAtMs ? 'deadline' : undefined;
}

/**
 * A workspace below its share may slightly exceed the limit of this VM; one above its share must stay
 * slightly below it. Small workspaces are therefore admitted regardless of the load of large ones.
 */
function findCapacityRefusal(
  router: Router,
  { workspace, priority }: Request,
  load: ModelLoad,
): string | undefined {
  const limitFactor = isUnderShare(router, workspace, load)
    ? 1 + FAIR_SHARE_MARGIN
    : 1 - FAIR_SHARE_MARGIN;
  return load.running >= load.limit * limitFactor * PRIORITY_LIMIT_RATIO[priority]
    ? 'overloaded'
    : undefined;
}

function isUnderShare(
  router: Router,
  workspace: WorkspaceId,
  { limit, shareSum, runningByWorkspace }: ModelLoad,
): boolean {
  const share = getShare(router, workspace);
  const running = runningByWorkspace.get(workspace, 0);
  const totalShares = running === 0 ? shareSum + share : shareSum;
  return running < (limit * share) / totalShares;
}

function getShare({ configuration }: Router, workspace: WorkspaceId): number {
  return configuration.workspace.get(workspace)?.share ?? 0;
}
