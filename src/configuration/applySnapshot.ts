/** Applies a complete snapshot once it is consistent. */

import { applyRevision } from './applyRevision';
import type { Revision } from './configuration';
import type { ConfigurationState } from './configurationState';

/**
 * Applies to the snapshot the revisions committed while its chunks were sent. The result becomes the
 * applied configuration if it reaches the highest revision of any chunk and is newer than the applied
 * one. Otherwise the state is returned unchanged.
 *
 * @param state a state whose partial snapshot has received its last chunk
 * @param revisions the revisions after that of the first chunk
 */
export function applySnapshot(
  state: ConfigurationState,
  revisions: readonly Revision[],
): ConfigurationState {
  const { partial } = state;
  if (partial?.isComplete !== true) return state;
  let { configuration } = partial;
  for (const revision of revisions) {
    if (revision.number === configuration.revision + 1) {
      configuration = applyRevision(configuration, revision);
    }
  }
  const isConsistent = configuration.revision >= partial.targetRevision;
  if (!isConsistent || configuration.revision <= state.applied.revision) return state;
  const head = Math.max(state.head, configuration.revision);
  return {
    ...state,
    applied: configuration,
    recentRevisions: state.recentRevisions.clear(),
    head,
    partial: undefined,
  };
}
