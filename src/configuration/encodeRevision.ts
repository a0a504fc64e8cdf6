/** Encodes a revision as the JSON text of its row. */

import type { Revision } from './configuration';

/** @returns the value of the revision's row, which `decodeRevision` decodes */
export function encodeRevision(revision: Revision): string {
  return JSON.stringify(revision);
}
