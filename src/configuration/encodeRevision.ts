/** Writes a revision as the JSON text of its row. */

import type { Revision } from './configuration';

/** @returns the value of the revision's row; `decodeRevision` reads it back */
export function encodeRevision(revision: Revision): string {
  return JSON.stringify(revision);
}
