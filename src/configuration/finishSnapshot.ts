/** Puts a whole snapshot in force once it is consistent. */

import { applyRevision } from './applyRevision';
import type { Revision } from './configuration';
import type { ConfigurationState } from './configurationState';

/**
 * Applies the revisions that came while the chunks did, and takes the snapshot over where that reaches
 * the highest revision of any chunk and lies above what is in force. Otherwise the state stays.
 *
 * @param state a state whose partial snapshot has had its last chunk
 * @param revisions the revisions after the first chunk's
 */
export function finishSnapshot(
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
  const isWhole = configuration.revision >= partial.until;
  if (!isWhole || configuration.revision <= state.applied.revision) return state;
  const head = Math.max(state.head, configuration.revision);
  return { ...state, applied: configuration, kept: state.kept.clear(), head, partial: undefined };
}
