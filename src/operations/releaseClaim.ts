/** Lets a claimed key go that was never dispatched. Only its claimer does this. */

import type { OperationKey, OperationOrigin, OperationsState } from './operationsState';
import { step, type OperationsStep } from './step';

/** Starts the release; until it is through, calls under the key are refused as not-run. */
export function releaseClaim(
  state: OperationsState,
  key: OperationKey,
  origin: Extract<OperationOrigin, { readonly type: 'claim' }>,
  tries: number,
): OperationsStep {
  return step({ ...state, releases: state.releases.set(key, { key, token: origin.token, tries }) });
}
