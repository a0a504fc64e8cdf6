/** Brings the configuration in force forward; it never goes back. */

import type { Revision } from './configuration';
import type { ConfigurationState } from './configurationState';
import { applyRevision } from './applyRevision';
import { MAX_KEPT_REVISIONS } from './configurationConstants';

/**
 * Applies the revisions that follow the one in force. Older ones are skipped; after a gap the rest
 * waits for another fetch.
 *
 * @param state the state
 * @param revisions in any order
 */
export function applyRevisions(
  state: ConfigurationState,
  revisions: readonly Revision[],
): ConfigurationState {
  let { applied, kept } = state;
  for (const revision of [...revisions].sort((one, other) => one.number - other.number)) {
    if (revision.number !== applied.revision + 1) continue;
    applied = applyRevision(applied, revision);
    kept = kept.push(revision);
  }
  if (applied === state.applied) return state;
  if (applied.revision < state.applied.revision) {
    throw new RangeError(`Revision ${state.applied.revision} would revert to ${applied.revision}`);
  }
  const head = Math.max(state.head, applied.revision);
  return { ...state, applied, kept: kept.takeLast(MAX_KEPT_REVISIONS), head };
}
