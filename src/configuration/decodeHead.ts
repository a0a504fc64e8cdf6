/** Reads the head row. */

import type { Head } from './head';
import { headSchema } from './revisionSchema';

/**
 * Reads the head from the value of its row.
 *
 * @param text JSON text
 * @returns undefined where the text is malformed
 */
export function decodeHead(text: string): Head | undefined {
  try {
    const checked = headSchema.safeParse(JSON.parse(text));
    return checked.success ? checked.data : undefined;
  } catch {
    return undefined;
  }
}
