/** Decodes a revision from the JSON text of its row and validates it. */

import type { Revision } from './configuration';
import { revisionSchema } from './revisionSchema';

export type DecodedRevision =
  | { readonly type: 'decoded'; readonly revision: Revision }
  | { readonly type: 'malformed'; readonly detail: string };

/** @param text the value of a revision row, or the same text from a peer */
export function decodeRevision(text: string): DecodedRevision {
  let json: unknown;
  try {
    json = JSON.parse(text);
  } catch (error) {
    return { type: 'malformed', detail: String(error) };
  }
  const parsed = revisionSchema.safeParse(json);
  if (!parsed.success) return { type: 'malformed', detail: parsed.error.message };
  return { type: 'decoded', revision: parsed.data as unknown as Revision };
}
