/** Reads a revision from the JSON text of its row, and checks its shape. */

import type { Revision } from './configuration';
import { revisionSchema } from './revisionSchema';

export type DecodedRevision =
  | { readonly type: 'decoded'; readonly revision: Revision }
  | { readonly type: 'malformed'; readonly detail: string };

/**
 * Reads one revision.
 *
 * @param text the value of a revision row, or the same text from a peer
 */
export function decodeRevision(text: string): DecodedRevision {
  let json: unknown;
  try {
    json = JSON.parse(text);
  } catch (error) {
    return { type: 'malformed', detail: String(error) };
  }
  const checked = revisionSchema.safeParse(json);
  if (!checked.success) return { type: 'malformed', detail: checked.error.message };
  return { type: 'decoded', revision: checked.data as unknown as Revision };
}
