/** Reads an intent from a TOML or JSON file. */

import { readFileSync } from 'node:fs';
import { parse } from 'smol-toml';
import { z } from 'zod';
import { intentSchema } from '../../adapters/intentSchema';
import type { Intent } from '../../plans/intent';

export type IntentResult =
  | { readonly type: 'read'; readonly intent: Intent }
  | { readonly type: 'invalid'; readonly detail: string };

/**
 * Reads and validates one intent.
 *
 * @param file a path; a file whose name ends with `.json` is parsed as JSON, any other as TOML
 */
export function readIntentFile(file: string): IntentResult {
  try {
    const text = readFileSync(file, 'utf8');
    const document: unknown = file.endsWith('.json') ? JSON.parse(text) : parse(text);
    const parsed = intentSchema.safeParse(document);
    if (parsed.success) return { type: 'read', intent: parsed.data };
    return { type: 'invalid', detail: `${file}:\n${z.prettifyError(parsed.error)}` };
  } catch (error) {
    return { type: 'invalid', detail: `${file}: ${String(error)}` };
  }
}
