/** Decodes the value of the head row. */

import type { Head } from './head';
import { headSchema } from './revisionSchema';

/**
 * @param text JSON text of the row
 * @returns undefined if the text is malformed
 */
export function decodeHead(text: string): Head | undefined {
  try {
    const parsed = headSchema.safeParse(JSON.parse(text));
    return parsed.success ? parsed.data : undefined;
  } catch {
    return undefined;
  }
}
