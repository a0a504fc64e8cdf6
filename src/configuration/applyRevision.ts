/** Applies the changes of one revision to the previous configuration. */

import type { Change, Configuration, ObjectKey, ObjectKind, Revision } from './configuration';

/**
 * Returns a new configuration. For kinds of objects that the revision does not change, it reuses the map
 * of the input.
 *
 * @param configuration the configuration at `revision.number - 1`
 * @param revision the next revision
 * @returns the configuration at `revision.number`
 * @throws RangeError if the revision is not the next one
 */
export function applyRevision(configuration: Configuration, revision: Revision): Configuration {
  if (revision.number !== configuration.revision + 1) {
    throw new RangeError(
      `Revision ${revision.number} does not follow revision ${configuration.revision}`,
    );
  }
  const changedKinds = new Set(revision.changes.map((change) => change.kind));
  const changedMaps = Object.fromEntries(
    [...changedKinds].map((kind) => [
      kind,
      applyChangesOfKind(configuration[kind], kind, revision.changes),
    ]),
  );
  return { ...configuration, ...changedMaps, revision: revision.number };
}

function applyChangesOfKind(
  objects: ReadonlyMap<ObjectKey, unknown>,
  kind: ObjectKind,
  changes: readonly Change[],
): ReadonlyMap<ObjectKey, unknown> {
  const next = new Map(objects);
  for (const change of changes) {
    if (change.kind !== kind) continue;
    if (change.type === 'put') next.set(change.key, change.value);
    else next.delete(change.key);
  }
  return next;
}
