/** Lets a claimed key go that was never dispatched. Only its claimer does this. */

import { chain } from './chain';
import { MAX_RELEASES } from './operationLimits';
import type { OperationKey, OperationsState } from './operationsState';
import { readRelease } from './readRelease';
import { step, type OperationsStep } from './step';
import { writeRelease } from './writeRelease';

/**
 * Starts the release; until it is through, calls under the key are refused here as not-run.
 *
 * @param version of the row, where it is known
 */
export function releaseClaim(
  state: OperationsState,
  key: OperationKey,
  token: string,
  fingerprint: string,
  version?: number,
): OperationsStep {
  if (state.releases.size >= MAX_RELEASES) {
    return step(state, { type: 'count', counter: 'claims_left', by: 1 });
  }
  const release = { key, token, fingerprint, tries: 0 };
  return chain({ ...state, releases: state.releases.set(key, release) }, (next) =>
    version === undefined ? readRelease(next, key) : writeRelease(next, key, version),
  );
}
