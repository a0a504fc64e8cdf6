/** Assembles the chunks of a snapshot on a VM that starts without a configuration. */

import { applyRevision } from './applyRevision';
import type { Change } from './configuration';
import type { Snapshot } from './configurationMessage';
import type { ConfigurationState, PartialSnapshot } from './configurationState';
import { createConfiguration } from './createConfiguration';
import { decodeChange } from './decodeChange';

/**
 * `joined`: the chunk was added; request the next one, or apply the snapshot if there is none. `stale`: not
 * the requested chunk.
 */
export type SnapshotChunkResult =
  | { readonly type: 'joined'; readonly state: ConfigurationState; readonly next: string | null }
  | { readonly type: 'stale' }
  | { readonly type: 'malformed' };

/**
 * Adds one chunk to the partial snapshot. After the last chunk, the revisions after `baseRevision` have to
 * be applied to it, unless no revision was committed between the chunks; see `applySnapshot`.
 *
 * @param state the configuration state
 * @param chunk the received chunk
 */
export function addSnapshotChunk(state: ConfigurationState, chunk: Snapshot): SnapshotChunkResult {
  const isFirst = chunk.after === '';
  if (chunk.revision <= state.applied.revision) return { type: 'stale' };
  if (!isFirst && chunk.after !== state.partial?.after) return { type: 'stale' };
  const changes = chunk.objects.map(decodeChange);
  if (changes.includes(undefined)) return { type: 'malformed' };
  const previous =
    isFirst || state.partial === undefined ? createPartialSnapshot(chunk) : state.partial;
  const partial = addObjects(previous, chunk, changes as readonly Change[]);
  return { type: 'joined', state: { ...state, partial }, next: chunk.next };
}

function createPartialSnapshot(chunk: Snapshot): PartialSnapshot {
  return {
    baseRevision: chunk.revision,
    targetRevision: chunk.revision,
    after: '',
    isComplete: false,
    configuration: { ...createConfiguration(), revision: chunk.revision },
  };
}

function addObjects(
  partial: PartialSnapshot,
  chunk: Snapshot,
  changes: readonly Change[],
): PartialSnapshot {
  const number = partial.baseRevision + 1;
  const next = { number, changeId: 'snapshot', operator: '', reason: '', changes };
  const configuration = applyRevision(partial.configuration, next);
  return {
    baseRevision: partial.baseRevision,
    targetRevision: Math.max(partial.targetRevision, chunk.revision),
    after: chunk.next ?? partial.after,
    isComplete: chunk.next === null,
    configuration: { ...configuration, revision: partial.baseRevision },
  };
}
