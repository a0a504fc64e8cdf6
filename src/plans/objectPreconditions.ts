/** Creates preconditions on one object. */

import type { Configuration, ObjectKey, ObjectKind } from '../configuration/configuration';
import { digestObject } from './digestObject';
import type { Precondition } from './plan';

/** Requires that an object stays unchanged, or stays absent. */
export function requireUnchanged(
  configuration: Configuration,
  kind: ObjectKind,
  key: ObjectKey,
): Precondition {
  return { type: 'unchanged', kind, key, digest: digestObject(configuration[kind].get(key)) };
}

/** Requires that an object exists. */
export function requireExistence(kind: ObjectKind, key: ObjectKey): Precondition {
  return { type: 'exists', kind, key };
}
