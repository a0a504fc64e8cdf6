/** What the row of a key that is being released shows. */

import type { ReadResult } from '../contracts/table';
import type { OperationKey, OperationsState } from './operationsState';
import { parseRow } from './parseRow';
import { claimRowSchema } from './recordedResult';
import { retryRelease } from './retryRelease';
import { step, type OperationsStep } from './step';
import { writeRelease } from './writeRelease';

/** Releases the row where it is still this claim's own; a missing one may yet appear. */
export function finishReleaseRead(
  state: OperationsState,
  key: OperationKey,
  result: ReadResult,
): OperationsStep {
  const release = state.releases.get(key);
  if (release === undefined) return step(state);
  const row = result.type === 'rows' ? result.rows.find((each) => each.key === key) : undefined;
  if (row === undefined) return retryRelease(state, key);
  const value = parseRow(row, claimRowSchema);
  const isOwn = value?.state === 'claimed' && value.token === release.token;
  if (isOwn) return writeRelease(state, key, row.version);
  return step({ ...state, releases: state.releases.delete(key) });
}
