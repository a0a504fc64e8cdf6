/** Decodes the row of a revision for the plans component. */

import type { Revision } from '../configuration/configuration';
import { decodeRevision } from '../configuration/decodeRevision';

/**
 * Decodes a revision.
 *
 * @throws TypeError if the row is malformed; nothing can be planned on such a configuration
 */
export function decodeRevisionOrThrow(value: string): Revision {
  const decoded = decodeRevision(value);
  if (decoded.type === 'malformed') throw new TypeError(`Malformed revision: ${decoded.detail}`);
  return decoded.revision;
}
