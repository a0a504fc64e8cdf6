/** Answers a peer that asks for revisions. */

import type { RevisionNumber } from './configuration';
import { MAX_REVISIONS_PER_FETCH } from './configurationConstants';
import type { Revisions, Snapshot } from './configurationMessage';
import type { ConfigurationState } from './configurationState';
import { encodeRevision } from './encodeRevision';
import { sliceSnapshot } from './sliceSnapshot';

/**
 * Gives the revisions after one, or the first chunk of a snapshot where they are no longer kept.
 *
 * @param state what this VM holds
 * @param after the highest revision that the peer has
 */
export function answerRevisions(
  state: ConfigurationState,
  after: RevisionNumber,
): Revisions | Snapshot {
  const oldest = state.kept.first()?.number ?? state.applied.revision + 1;
  if (after + 1 < oldest && after < state.applied.revision) return sliceSnapshot(state.applied, '');
  const revisions = state.kept
    .skipWhile((revision) => revision.number <= after)
    .take(MAX_REVISIONS_PER_FETCH)
    .map(encodeRevision)
    .toArray();
  return { type: 'revisions', revisions, head: state.head };
}
