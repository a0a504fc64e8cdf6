/** Closes a period of admission: adapts each model's limit, works out this VM's rates for the digests. */

import type { ModelId } from '../engines/engine';
import { MS_PER_SECOND } from '../units';
import { adaptLimit } from './adaptLimit';
import type { Admission, ModelLoad, WorkspaceLoad } from './admission';
import { IDLE_WORKSPACE_MS, MAX_SHARED_WORKSPACES } from './constants';
import { meanIntervals } from './meanIntervals';
import type { Router } from './router';
import type { WorkspaceUse } from './routerMessage';
import { sumShares } from './sumShares';

/** @returns the admission of the next period, and this VM's use of the one that ended */
export function adaptAdmission(
  router: Router,
  atMs: number,
): { readonly admission: Admission; readonly uses: readonly WorkspaceUse[] } {
  const { admission } = router;
  const seconds = Math.max(1, atMs - admission.adaptedAtMs) / MS_PER_SECOND;
  const workspaces = admission.workspaces
    .filter((load) => load.running > 0 || atMs - load.seenAtMs < IDLE_WORKSPACE_MS)
    .map((load) => closePeriod(load, seconds));
  const uses = [...workspaces]
    .sort(([, a], [, b]) => b.running - a.running)
    .slice(0, MAX_SHARED_WORKSPACES)
    .map(([workspace, load]): WorkspaceUse => {
      const { requestsPerSecond, tokensPerSecond, running } = load;
      return { workspace, requestsPerSecond, tokensPerSecond, running, ageMs: 0 };
    });
  const intervals = meanIntervals(router, atMs);
  const models = admission.models
    .filter((_, model) => router.configuration.model.has(model))
    .map((load, model) => adaptModel(router, model, load, intervals.get(model) ?? 0));
  return { admission: { workspaces, models, adaptedAtMs: atMs }, uses };
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

function adaptModel(
  router: Router,
  model: ModelId,
  load: ModelLoad,
  tokenIntervalMs: number,
): ModelLoad {
  const { firstTokens, firstTokenSumMs } = load;
  const firstTokenMs = firstTokens > 0 ? firstTokenSumMs / firstTokens : load.firstTokenMs / 2;
  const adapted = adaptLimit(router, model, load, { firstTokenMs, tokenIntervalMs });
  const shares = sumShares(router.configuration, load.runningOf.keys());
  return { ...adapted, shares, firstTokenMs, firstTokens: 0, firstTokenSumMs: 0 };
}
