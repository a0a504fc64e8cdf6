/** Decodes one change from JSON text and validates it. */

import type { Change } from './configuration';
import { changeSchema } from './revisionSchema';

/** @returns undefined if the text is malformed */
export function decodeChange(text: string): Change | undefined {
  try {
    const parsed = changeSchema.safeParse(JSON.parse(text));
    return parsed.success ? (parsed.data as unknown as Change) : undefined;
  } catch {
    return undefined;
  }
}
