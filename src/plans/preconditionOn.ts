/** Preconditions on one object. */

import type { Configuration, ObjectKey, ObjectKind } from '../configuration/configuration';
import { digestObject } from './digestObject';
import type { Precondition } from './plan';

/** Asks that an object stays as it is, or stays missing. */
export function unchanged(
  configuration: Configuration,
  kind: ObjectKind,
  key: ObjectKey,
): Precondition {
  return { type: 'unchanged', kind, key, digest: digestObject(configuration[kind].get(key)) };
}

/** Asks that an object stays there. */
export function exists(kind: ObjectKind, key: ObjectKey): Precondition {
  return { type: 'exists', kind, key };
}
