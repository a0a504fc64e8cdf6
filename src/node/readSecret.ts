/** Reads a secret from the file or environment variable that the settings name; it is never logged. */

import { readFileSync } from 'node:fs';
import { MIN_KEY_BYTES } from './constants';
import type { SecretSource } from './settingsSchema';

export type SecretResult =
  | { readonly type: 'read'; readonly secret: string }
  | { readonly type: 'missing'; readonly message: string };

/**
 * Reads one secret and trims white space around it.
 *
 * @param source the file or environment variable that holds it
 * @param environment the environment variables
 */
export function readSecret(
  source: SecretSource,
  environment: Readonly<Record<string, string | undefined>>,
): SecretResult {
  const location = 'file' in source ? `file ${source.file}` : `environment variable ${source.env}`;
  const value = 'file' in source ? readText(source.file) : environment[source.env];
  const secret = value?.trim() ?? '';
  if (secret === '') return { type: 'missing', message: `${location} holds no secret` };
  if (Buffer.byteLength(secret) < MIN_KEY_BYTES) {
    return {
      type: 'missing',
      message: `${location}: accepted are at least ${MIN_KEY_BYTES} bytes`,
    };
  }
  return { type: 'read', secret };
}

function readText(path: string): string | undefined {
  try {
    return readFileSync(path, 'utf8');
  } catch {
    return undefined;
  }
}
