/** Reads a revision's row for the plans side. */

import type { Revision } from '../configuration/configuration';
import { decodeRevision } from '../configuration/decodeRevision';

/**
 * Reads a revision.
 *
 * @throws TypeError where the row is malformed; nothing can be planned on such a configuration
 */
export function readRevision(value: string): Revision {
  const decoded = decodeRevision(value);
  if (decoded.type === 'malformed') throw new TypeError(`Malformed revision: ${decoded.detail}`);
  return decoded.revision;
}
