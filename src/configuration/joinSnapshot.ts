/** Puts the chunks of a snapshot together on a VM that starts with nothing. */

import { applyRevision } from './applyRevision';
import type { Change } from './configuration';
import type { Snapshot } from './configurationMessage';
import type { ConfigurationState, PartialSnapshot } from './configurationState';
import { createConfiguration } from './createConfiguration';
import { decodeChange } from './decodeChange';

/** `joined`: take the next chunk, or finish where there is none; `stale`: not the chunk asked for. */
export type JoinedSnapshot =
  | { readonly type: 'joined'; readonly state: ConfigurationState; readonly next: string | null }
  | { readonly type: 'stale' }
  | { readonly type: 'malformed' };

/**
 * Adds one chunk. After the last, where no revision came in between, the snapshot is in force at once;
 * otherwise the revisions from `base` on have to be applied again; see `finishSnapshot`.
 *
 * @param state the state
 * @param chunk the chunk
 */
export function joinSnapshot(state: ConfigurationState, chunk: Snapshot): JoinedSnapshot {
  const isFirst = chunk.after === '';
  if (chunk.revision <= state.applied.revision) return { type: 'stale' };
  if (!isFirst && chunk.after !== state.partial?.after) return { type: 'stale' };
  const changes = chunk.objects.map(decodeChange);
  if (changes.includes(undefined)) return { type: 'malformed' };
  const before = isFirst || state.partial === undefined ? startPartial(chunk) : state.partial;
  const partial = addObjects(before, chunk, changes as readonly Change[]);
  return { type: 'joined', state: { ...state, partial }, next: chunk.next };
}

function startPartial(chunk: Snapshot): PartialSnapshot {
  return {
    base: chunk.revision,
    until: chunk.revision,
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
  const number = partial.base + 1;
  const next = { number, changeId: 'snapshot', operator: '', reason: '', changes };
  const configuration = applyRevision(partial.configuration, next);
  return {
    base: partial.base,
    until: Math.max(partial.until, chunk.revision),
    after: chunk.next ?? partial.after,
    isComplete: chunk.next === null,
    configuration: { ...configuration, revision: partial.base },
  };
}
