/**
 * Decides at once whether a request is taken in: by the limits and the fair share of its workspace, by
 * its priority, and by whether its first token can come in time. Nothing queues in the router, so a
 * refusal is never held back.
 */

import type { NotRun } from '../outcomes/outcome';
import type { WorkspaceId } from '../workspaces/workspace';
import type { Admission, Bucket, WorkspaceLoad } from './admission';
import {
  BUCKET_MS,
  FILL_OF_PRIORITY,
  RETRY_AFTER_MS,
  RETRY_JITTER_MS,
  SHARE_ROOM,
} from './constants';
import { createWorkspaceLoad } from './createWorkspaceLoad';
import { ownPart } from './ownPart';
import type { Request } from './request';
import type { Router } from './router';
import { MS_PER_SECOND } from '../units';

export type AdmissionDecision =
  | { readonly type: 'admitted'; readonly admission: Admission }
  | { readonly type: 'refused'; readonly refusal: NotRun };

/**
 * @param router the router
 * @param request the request
 * @param at when, and randomness for the time to come back
 */
export function admitRequest(
  router: Router,
  request: Request,
  at: { readonly atMs: number; readonly seed: number },
): AdmissionDecision {
  const { admission } = router;
  const load = admission.workspaces.get(request.workspace) ?? createWorkspaceLoad(at.atMs);
  const bucket = fillBucket(router, request.workspace, load, at.atMs);
  const reason =
    findLimit(router, request, load, bucket) ??
    findDeadline(router, request, at.atMs) ??
    findShortage(router, request, load);
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
  return { type: 'admitted', admission: { ...admission, workspaces } };
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

function findDeadline(router: Router, request: Request, atMs: number): string | undefined {
  return atMs + router.admission.firstTokenMs > request.deadlineAtMs ? 'deadline' : undefined;
}

/**
 * A workspace under its share may go a little beyond the limit of this VM; one over its share has to
 * leave some room below it. So the small ones get in at once, whatever a large one sends.
 */
function findShortage(
  router: Router,
  { workspace, priority }: Request,
  load: WorkspaceLoad,
): string | undefined {
  const { admission, requests } = router;
  const room = isUnderShare(router, workspace, load) ? 1 + SHARE_ROOM : 1 - SHARE_ROOM;
  const limit = admission.limit * room * FILL_OF_PRIORITY[priority];
  return requests.size >= limit ? 'overloaded' : undefined;
}

function isUnderShare(router: Router, workspace: WorkspaceId, load: WorkspaceLoad): boolean {
  const { admission, configuration, acceptingVms } = router;
  const shareOf = (id: WorkspaceId): number => configuration.workspace.get(id)?.share ?? 0;
  let shares = admission.workspaces.has(workspace) ? 0 : shareOf(workspace);
  for (const id of admission.workspaces.keys()) shares += shareOf(id);
  const fair = (admission.limit * acceptingVms * shareOf(workspace)) / shares;
  return load.running + load.othersRunning < fair;
}
