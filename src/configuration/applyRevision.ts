/** Applies the changes of one revision to the previous configuration. */

import type { Change, Configuration, ObjectKey, ObjectKind, Revision } from './configuration';

/**
 * Kinds that the revision does not change are shared with the input.
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
  const copies = Object.fromEntries(
    [...changedKinds].map((kind) => [
      kind,
      applyToKind(configuration[kind], kind, revision.changes),
    ]),
  );
  return { ...configuration, ...copies, revision: revision.number };
}

function applyToKind(
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
