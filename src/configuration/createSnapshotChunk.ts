/** Creates the chunks of a configuration snapshot for a VM that starts without a configuration. */

import type { Configuration, ObjectKind } from './configuration';
import { MAX_OBJECTS_PER_CHUNK } from './configurationConstants';
import type { Snapshot } from './configurationMessage';

/** Kinds in the order in which a snapshot lists them. */
const KINDS: readonly ObjectKind[] = [
  'failureDomain',
  'link',
  'acceleratorKind',
  'model',
  'backendServer',
  'engine',
  'workspace',
  'service',
];

interface Position {
  readonly kind: ObjectKind;
  readonly key: string;
}

/**
 * Returns the objects after a given one, in the order of kind and key, so that objects added or removed
 * between two chunks do not shift the others. After the last chunk the receiver applies the revisions
 * after that of the first chunk, which corrects every object that changed in between.
 *
 * @param configuration the applied configuration
 * @param after `kind/key` of the last object that the receiver has; empty for the first chunk
 */
export function createSnapshotChunk(configuration: Configuration, after: string): Snapshot {
  const last = parsePosition(after);
  const remaining = KINDS.flatMap((kind) => listAfter(configuration, kind, last));
  const chunk = remaining.slice(0, MAX_OBJECTS_PER_CHUNK);
  const objects = chunk.map(({ kind, key }) =>
    JSON.stringify({ type: 'put', kind, key, value: configuration[kind].get(key) }),
  );
  const end = chunk.at(-1);
  return {
    type: 'snapshot',
    revision: configuration.revision,
    after,
    objects,
    next: end === undefined || chunk.length === remaining.length ? null : `${end.kind}/${end.key}`,
  };
}

function parsePosition(after: string): Position | undefined {
  const separator = after.indexOf('/');
  const kind = KINDS.find((known) => known === after.slice(0, separator));
  return kind === undefined ? undefined : { kind, key: after.slice(separator + 1) };
}

function listAfter(
  configuration: Configuration,
  kind: ObjectKind,
  last: Position | undefined,
): readonly Position[] {
  const order = last === undefined ? 1 : KINDS.indexOf(kind) - KINDS.indexOf(last.kind);
  if (order < 0) return [];
  const keys = [...configuration[kind].keys()];
  const later = order === 0 ? keys.filter((key) => last !== undefined && key > last.key) : keys;
  return later.sort(compareKeys).map((key) => ({ kind, key }));
}

function compareKeys(one: string, other: string): number {
  if (one === other) return 0;
  return one < other ? -1 : 1;
}
