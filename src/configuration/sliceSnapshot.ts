/** Cuts the configuration into chunks for a VM that starts with nothing. */

import type { Configuration, ObjectKind } from './configuration';
import { MAX_OBJECTS_PER_CHUNK } from './configurationConstants';
import type { Snapshot } from './configurationMessage';

/** Kinds in the order in which a snapshot gives them. */
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
 * Gives the objects after one, in the order of kind and key, so that objects which come and go between
 * two chunks shift nothing. The receiver applies the revisions after the first chunk's again at the
 * end, which puts every object right that changed in between.
 *
 * @param configuration what is in force
 * @param after `kind/key` of the last object that the receiver has; empty for the first chunk
 */
export function sliceSnapshot(configuration: Configuration, after: string): Snapshot {
  const last = parsePosition(after);
  const rest = KINDS.flatMap((kind) => listAfter(configuration, kind, last));
  const chunk = rest.slice(0, MAX_OBJECTS_PER_CHUNK);
  const objects = chunk.map(({ kind, key }) =>
    JSON.stringify({ type: 'put', kind, key, value: configuration[kind].get(key) }),
  );
  const end = chunk.at(-1);
  return {
    type: 'snapshot',
    revision: configuration.revision,
    after,
    objects,
    next: end === undefined || chunk.length === rest.length ? null : `${end.kind}/${end.key}`,
  };
}

function parsePosition(after: string): Position | undefined {
  const cut = after.indexOf('/');
  const kind = KINDS.find((known) => known === after.slice(0, cut));
  return kind === undefined ? undefined : { kind, key: after.slice(cut + 1) };
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
