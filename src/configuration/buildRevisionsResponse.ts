/** Answers a peer's request for revisions. */

import type { RevisionNumber } from './configuration';
import { MAX_REVISIONS_PER_FETCH } from './configurationConstants';
import type { Revisions, Snapshot } from './configurationMessage';
import type { ConfigurationState } from './configurationState';
import { encodeRevision } from './encodeRevision';
import { createSnapshotChunk } from './createSnapshotChunk';

/**
 * Returns the revisions after the peer's, or the first chunk of a snapshot if this VM no longer keeps
 * them.
 *
 * @param state the configuration state of this VM
 * @param after the highest revision that the peer has
 */
export function buildRevisionsResponse(
  state: ConfigurationState,
  after: RevisionNumber,
): Revisions | Snapshot {
  const oldest = state.recentRevisions.first()?.number ?? state.applied.revision + 1;
  if (after + 1 < oldest && after < state.applied.revision)
    return createSnapshotChunk(state.applied, '');
  const revisions = state.recentRevisions
    .skipWhile((revision) => revision.number <= after)
    .take(MAX_REVISIONS_PER_FETCH)
    .map(encodeRevision)
    .toArray();
  return { type: 'revisions', revisions, head: state.head };
}
