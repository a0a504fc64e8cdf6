/** Reads one change from JSON text, and checks its shape. */

import type { Change } from './configuration';
import { changeSchema } from './revisionSchema';

/** @returns undefined where the text is malformed */
export function decodeChange(text: string): Change | undefined {
  try {
    const checked = changeSchema.safeParse(JSON.parse(text));
    return checked.success ? (checked.data as unknown as Change) : undefined;
  } catch {
    return undefined;
  }
}
