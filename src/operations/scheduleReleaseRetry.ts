/** Schedules the next try to release a claim. */

import { MAX_RELEASE_TRIES, MAX_TABLE_DELAY_MS, RELEASE_DELAY_MS } from './operationLimits';
import type { OperationKey, OperationsState } from './operationsState';
import { step, type OperationsStep } from './step';

/** After the last try the key stays claimed: repeats are refused as `unknown`, and none runs. */
export function scheduleReleaseRetry(state: OperationsState, key: OperationKey): OperationsStep {
  const release = state.releases.get(key);
  if (release === undefined) return step(state);
  if (release.tries >= MAX_RELEASE_TRIES) {
    const releases = state.releases.delete(key);
    return step({ ...state, releases }, { type: 'count', counter: 'claims_left', by: 1 });
  }
  const afterMs = Math.min(MAX_TABLE_DELAY_MS, RELEASE_DELAY_MS * 2 ** release.tries);
  const releases = state.releases.set(key, { ...release, tries: release.tries + 1 });
  return step({ ...state, releases }, { type: 'set-timer', timer: `release ${key}`, afterMs });
}
