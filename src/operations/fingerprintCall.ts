/** Hashes the content of a call to detect an id that is reused for a different call. */

import { createHash } from 'node:crypto';
import type { PlainCall } from './operationMessage';

/** @returns SHA-256 over service, method, path, content type and body, base64url */
export function fingerprintCall(call: PlainCall): string {
  const parts = [call.service, call.method, call.path, call.contentType, call.body];
  return createHash('sha256').update(JSON.stringify(parts)).digest('base64url');
}
