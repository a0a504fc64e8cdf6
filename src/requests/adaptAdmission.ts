/** Ends an admission period: adapts each model's limit and computes this VM's rates for the digests. */

import type { ModelId } from '../engines/engine';
import { MS_PER_SECOND } from '../units';
import { adaptLimit } from './adaptLimit';
import type { Admission, ModelLoad, WorkspaceLoad } from './admission';
import { IDLE_WORKSPACE_MS, MAX_SHARED_WORKSPACES } from './constants';
import { computeTokenIntervals } from './computeTokenIntervals';
import type { Router } from './router';
import type { WorkspaceUsage } from './routerMessage';
import { sumShares } from './sumShares';

/** @returns the admission state of the next period, and this VM's usage in the period that ended */
export function adaptAdmission(
  router: Router,
  atMs: number,
): { readonly admission: Admission; readonly usage: readonly WorkspaceUsage[] } {
  const { admission } = router;
  const seconds = Math.max(1, atMs - admission.adaptedAtMs) / MS_PER_SECOND;
  const workspaces = admission.workspaces
    .filter((load) => load.running > 0 || atMs - load.lastActiveAtMs < IDLE_WORKSPACE_MS)
    .map((load) => closePeriod(load, seconds));
  const usage = [...workspaces]
    .sort(([, a], [, b]) => b.running - a.running)
    .slice(0, MAX_SHARED_WORKSPACES)
    .map(([workspace, load]): WorkspaceUsage => {
      const { requestsPerSecond, tokensPerSecond, running } = load;
      return { workspace, requestsPerSecond, tokensPerSecond, running, ageMs: 0 };
    });
  const intervals = computeTokenIntervals(router, atMs);
  const models = admission.models
    .filter((_, model) => router.configuration.model.has(model))
    .map((load, model) => adaptModelLoad(router, model, load, intervals.get(model) ?? 0));
  return { admission: { workspaces, models, adaptedAtMs: atMs }, usage };
}

function closePeriod(load: WorkspaceLoad, seconds: number): WorkspaceLoad {
  return {
    ...load,
    requests: 0,
    tokens: 0,
    requestsPerSecond: load.requests / seconds,
    tokensPerSecond: load.tokens / seconds,
  };
}

function adaptModelLoad(
  router: Router,
  model: ModelId,
  load: ModelLoad,
  tokenIntervalMs: number,
): ModelLoad {
  const { firstTokenCount, firstTokenSumMs } = load;
  const firstTokenMs =
    firstTokenCount > 0 ? firstTokenSumMs / firstTokenCount : load.firstTokenMs / 2;
  const adapted = adaptLimit(router, model, load, { firstTokenMs, tokenIntervalMs });
  const shareSum = sumShares(router.configuration, load.runningByWorkspace.keys());
  return { ...adapted, shareSum, firstTokenMs, firstTokenCount: 0, firstTokenSumMs: 0 };
}
