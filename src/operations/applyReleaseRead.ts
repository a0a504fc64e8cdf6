/** Applies the row of a key that is being released. */

import type { ReadResult } from '../contracts/table';
import type { OperationKey, OperationsState } from './operationsState';
import { parseRow } from './parseRow';
import { claimRowSchema } from './recordedResult';
import { scheduleReleaseRetry } from './scheduleReleaseRetry';
import { step, type OperationsStep } from './step';
import { writeRelease } from './writeRelease';

/** Releases the row if this claim still holds it. A missing row is read again, as it may appear late. */
export function applyReleaseRead(
  state: OperationsState,
  key: OperationKey,
  result: ReadResult,
): OperationsStep {
  const release = state.releases.get(key);
  if (release === undefined) return step(state);
  const row = result.type === 'rows' ? result.rows.find((each) => each.key === key) : undefined;
  if (row === undefined) return scheduleReleaseRetry(state, key);
  const value = parseRow(row, claimRowSchema);
  const isOwn = value?.state === 'claimed' && value.token === release.token;
  if (isOwn) return writeRelease(state, key, row.version);
  return step({ ...state, releases: state.releases.delete(key) });
}
