/** Formats keys of revision rows. */

import { REVISION_DIGITS, REVISION_PREFIX } from './configurationConstants';
import type { RevisionNumber } from './configuration';

/**
 * Returns the key of a revision's row; keys sort in the order of the revisions.
 *
 * @param revision number of the revision, from 1
 */
export function formatRevisionKey(revision: RevisionNumber): string {
  return REVISION_PREFIX + String(revision).padStart(REVISION_DIGITS, '0');
}
