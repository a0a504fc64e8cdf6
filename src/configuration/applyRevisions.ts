/** Advances the applied configuration; it never reverts to a lower revision. */

import type { Revision } from './configuration';
import type { ConfigurationState } from './configurationState';
import { applyRevision } from './applyRevision';
import { MAX_RECENT_REVISIONS } from './configurationConstants';

/**
 * Applies the revisions that follow the applied one. Older revisions, and those after a gap, are
 * skipped; the latter have to be fetched again.
 *
 * @param state the configuration state
 * @param revisions in any order
 */
export function applyRevisions(
  state: ConfigurationState,
  revisions: readonly Revision[],
): ConfigurationState {
  let { applied, recentRevisions } = state;
  for (const revision of [...revisions].sort((one, other) => one.number - other.number)) {
    if (revision.number !== applied.revision + 1) continue;
    applied = applyRevision(applied, revision);
    recentRevisions = recentRevisions.push(revision);
  }
  if (applied === state.applied) return state;
  if (applied.revision < state.applied.revision) {
    throw new RangeError(`Revision ${state.applied.revision} would revert to ${applied.revision}`);
  }
  const head = Math.max(state.head, applied.revision);
  return {
    ...state,
    applied,
    recentRevisions: recentRevisions.takeLast(MAX_RECENT_REVISIONS),
    head,
  };
}
