/** Releases a claimed key whose operation did not run. Only the claimer does this. */

import { chain } from './chain';
import { MAX_RELEASES } from './operationLimits';
import type { OperationKey, OperationsState } from './operationsState';
import { readReleaseRow } from './readReleaseRow';
import { step, type OperationsStep } from './step';
import { writeRelease } from './writeRelease';

/**
 * Starts the release; calls under the key are refused here as not-run until it completes.
 *
 * @param version version of the row, if known
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
    version === undefined ? readReleaseRow(next, key) : writeRelease(next, key, version),
  );
}
